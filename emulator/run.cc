#include "emulator/run.h"

#include "core/json.h"
#include "emulator/caller.h"
#include "emulator/nodeprocess.h"
#include "emulator/oddentry.h"
#include "emulator/operator.h"
#include "emulator/storeport.h"
#include "emulator/targets.h"

#include <atomic>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

namespace hibiscushold::emulator {

namespace {

constexpr uint64_t kFirstEra = 3;
constexpr uint64_t kFirstRevision = 1000;
/// Traffic begins at this time, when the nodes have started.
constexpr int64_t kTrafficAt = 6000;
constexpr auto kSyncInterval = milliseconds(20);
constexpr auto kRetryInterval = milliseconds(10);
constexpr auto kCrashInterval = milliseconds(150);
constexpr auto kStopGrace = milliseconds(8000);
constexpr size_t kBytesPerMb = 1'000'000;
constexpr auto kEndPollInterval = milliseconds(50);
constexpr uint16_t kFirstPort = 7000;
constexpr uint16_t kPortsPerNode = 3;

StoreAccess
AccessOf(AwayMode aMode)
{
  switch (aMode) {
    case AwayMode::Busy:
      return StoreAccess::Busy;
    case AwayMode::Silent:
      return StoreAccess::Silent;
    case AwayMode::Reset:
      break;
  }
  return StoreAccess::Reset;
}

AnswerFault
AnswerFaultOf(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::SecondCopies:
      return AnswerFault::SecondCopy;
    case FaultKind::BrokenOff:
      return AnswerFault::BrokenOff;
    case FaultKind::OpenResets:
      return AnswerFault::OpenReset;
    case FaultKind::NoAnswers:
      return AnswerFault::NoAnswer;
    default:
      return AnswerFault::Lost;
  }
}

/// A node, with the port through which it reaches the store.
struct Node
{
  std::unique_ptr<StorePort> mPort;
  std::unique_ptr<NodeProcess> mProcess;
  std::unique_ptr<std::mutex> mLock; ///< one fault of the node at a time
};

/// Everything that takes part in a run.
class World
{
public:
  World(const Scenario& aScenario,
        const std::string& aProgram,
        const std::string& aFolder);

  Lines Run();

private:
  void Cause(const Fault& aFault);
  void ReturnStore(const Fault& aFault);
  void CutStore(Node& aNode, const Fault& aFault);
  void DisturbCalls(const Fault& aFault);
  void SpoilAnswers(const Fault& aFault);
  void CrashTargets(const Fault& aFault);
  void LeaveOddEntry(const Fault& aFault);
  void RestartEndedNodes() const;
  std::unique_ptr<Caller> MakeCaller(size_t aIndex);
  void TakeZoneOut(const Fault& aFault);
  void AwaitStore() const;
  void Change();
  void SetAccess(StoreAccess aAccess);
  void WaitUntil(int64_t aTime) const;

  const Scenario mScenario;
  const Timeline mTimeline;
  Recorder mRecorder;
  Store mStore;
  Operator mOperator;
  Targets mTargets;
  std::vector<Node> mNodes;
  std::mutex mStoreLock;              ///< one return at a time
  std::mutex mZoneLock;               ///< one zone out at a time
  std::atomic<uint64_t> mNextId{ 1 }; ///< of the requests
  std::atomic<bool> mIsStoreAway{ false };
  std::atomic<bool> mStopping{ false };
};

World::World(const Scenario& aScenario,
             const std::string& aProgram,
             const std::string& aFolder)
  : mScenario(aScenario)
  , mRecorder(aFolder + "/lines.jsonl")
  , mStore(mTimeline, kFirstEra, kFirstRevision)
  , mOperator(mStore, aScenario.mColdPerSecond, mTimeline, mRecorder)
  , mTargets(aScenario, mStore, mTimeline, mRecorder)
{
  for (size_t i = 0; i < aScenario.mNodes; ++i) {
    Node node{ std::make_unique<StorePort>(mStore, mTimeline),
               nullptr,
               std::make_unique<std::mutex>() };
    const auto port = static_cast<uint16_t>(kFirstPort + kPortsPerNode * i);
    NodeOptions options{ i,
                         aProgram,
                         aFolder,
                         "zone-" + std::to_string(i % aScenario.mZones),
                         node.mPort->Address(),
                         OwnLoopbackAddress(),
                         port,
                         static_cast<uint16_t>(port + 1),
                         static_cast<uint16_t>(port + 2),
                         aScenario.mAddressSpaceMb * kBytesPerMb,
                         aScenario.mFollowsZones };
    node.mProcess =
      std::make_unique<NodeProcess>(std::move(options), mTimeline, mRecorder);
    mNodes.push_back(std::move(node));
  }
}

void
World::WaitUntil(int64_t aTime) const
{
  std::this_thread::sleep_for(milliseconds(aTime - mTimeline.Now()));
}

void
World::SetAccess(StoreAccess aAccess)
{
  for (const Node& it : mNodes) {
    it.mPort->SetAccess(aAccess);
  }
}

void
World::ReturnStore(const Fault& aFault)
{
  {
    const std::lock_guard guard(mStoreLock);
    const int64_t from = mTimeline.Now();
    mIsStoreAway = true;
    SetAccess(AccessOf(aFault.mMode));
    std::this_thread::sleep_for(milliseconds(aFault.mFor));
    mStore.ReturnTo(from - aFault.mLost);
    SetAccess(StoreAccess::Open);
    mIsStoreAway = false;
    mRecorder.Record(DisturbanceLine{
      DisturbanceLine::Kind::Store, 0, from, mTimeline.Now() });
  }
  std::this_thread::sleep_for(milliseconds(aFault.mRewriteAfter));
  mOperator.Rewrite();
}

void
World::CutStore(Node& aNode, const Fault& aFault)
{
  const int64_t from = mTimeline.Now();
  aNode.mPort->SetAccess(AccessOf(aFault.mMode));
  std::this_thread::sleep_for(milliseconds(aFault.mFor));
  aNode.mPort->SetAccess(StoreAccess::Open);
  mRecorder.Record(DisturbanceLine{
    DisturbanceLine::Kind::Cut, aFault.mNode, from, mTimeline.Now() });
}

void
World::DisturbCalls(const Fault& aFault)
{
  const auto set = [&](WriteFate aFate, int64_t aStaleLag) {
    for (const Node& it : mNodes) {
      if (aFault.mKind == FaultKind::ReadsStale) {
        it.mPort->SetStaleLag(aStaleLag);
      } else {
        it.mPort->SetWriteFate(aFate);
      }
    }
  };
  const int64_t from = mTimeline.Now();
  mTargets.SetReportsLate(aFault.mKind == FaultKind::WritesLate);
  set(aFault.mKind == FaultKind::WritesLate ? WriteFate::Late
                                            : WriteFate::AnswerLost,
      aFault.mLost);
  std::this_thread::sleep_for(milliseconds(aFault.mFor));
  set(WriteFate::Answered, 0);
  mTargets.SetReportsLate(false);
  mRecorder.Record(
    DisturbanceLine{ DisturbanceLine::Kind::Store, 0, from, mTimeline.Now() });
}

void
World::SpoilAnswers(const Fault& aFault)
{
  mTargets.SpoilAnswers(AnswerFaultOf(aFault.mKind), aFault.mShare);
  std::this_thread::sleep_for(milliseconds(aFault.mFor));
  mTargets.SpoilAnswers(AnswerFault::None, 1);
}

std::unique_ptr<Caller>
World::MakeCaller(size_t aIndex)
{
  const size_t n = aIndex % mNodes.size();
  const NodeOptions& node = mNodes[n].mProcess->Options();
  return std::make_unique<Caller>(
    Caller::Options{ n,
                     node.mHost,
                     node.mCallerPort,
                     mScenario.mSeed * 1000 + aIndex,
                     mScenario.mHasStreams,
                     mScenario.mHasMalformed },
    mOperator,
    mNextId,
    mTimeline,
    mRecorder);
}

void
World::CrashTargets(const Fault& aFault)
{
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < mNodes.size(); ++i) {
    callers.push_back(
      MakeCaller((mScenario.mCallersPerNode + 1) * mNodes.size() + i));
  }
  const int64_t end = aFault.mAt + aFault.mFor;
  for (size_t n = 0; mTimeline.Now() < end; ++n) {
    callers[n % callers.size()]->SendCrash(aFault.mVariesQuery);
    std::this_thread::sleep_for(kCrashInterval);
  }
}

void
World::LeaveOddEntry(const Fault& aFault)
{
  const Result<Json::Value> value = ParseJson(aFault.mValue);
  if (!value) {
    throw std::invalid_argument("value " + aFault.mValue + " is no JSON");
  }
  mTargets.LeaveOddEntry(MakeOddEntry(aFault.mField, value.value()));
}

void
World::RestartEndedNodes() const
{
  for (const Node& it : mNodes) {
    // A fault of the node ends its process and starts it again.
    const std::unique_lock guard(*it.mLock, std::try_to_lock);
    if (guard.owns_lock()) {
      it.mProcess->RestartIfEnded();
    }
  }
}

void
World::AwaitStore() const
{
  while (mIsStoreAway) {
    std::this_thread::sleep_for(kRetryInterval);
  }
}

void
World::Change()
{
  AwaitStore();
  mOperator.Change();
}

void
World::TakeZoneOut(const Fault& aFault)
{
  // A zone that is out can't be taken out again.
  const std::lock_guard guard(mZoneLock);
  const std::string zone = "zone-" + std::to_string(aFault.mZone);
  AwaitStore();
  mOperator.TakeOut(zone);
  std::this_thread::sleep_for(milliseconds(aFault.mFor));
  AwaitStore();
  mTargets.TurnCold(zone);
  mOperator.PutBack(zone);
}

void
World::Cause(const Fault& aFault)
{
  WaitUntil(aFault.mAt);
  switch (aFault.mKind) {
    case FaultKind::Change:
      Change();
      return;
    case FaultKind::StoreReturn:
      ReturnStore(aFault);
      return;
    case FaultKind::HistoryGone:
      mStore.ForgetHistory();
      return;
    case FaultKind::TargetLeaves:
      mTargets.ReplaceOne();
      return;
    case FaultKind::AnswersLost:
    case FaultKind::WritesLate:
    case FaultKind::ReadsStale:
      DisturbCalls(aFault);
      return;
    case FaultKind::SecondCopies:
    case FaultKind::BrokenOff:
    case FaultKind::LostAnswers:
    case FaultKind::OpenResets:
    case FaultKind::NoAnswers:
      SpoilAnswers(aFault);
      return;
    case FaultKind::Crashes:
      CrashTargets(aFault);
      return;
    case FaultKind::OddEntry:
      LeaveOddEntry(aFault);
      return;
    case FaultKind::ZoneOut:
      TakeZoneOut(aFault);
      return;
    default:
      break;
  }
  // All others are faults of one node.
  Node& node = mNodes[aFault.mNode];
  const std::lock_guard guard(*node.mLock);
  switch (aFault.mKind) {
    case FaultKind::NodeKill:
      node.mProcess->Restart(milliseconds(aFault.mFor));
      break;
    case FaultKind::NodeStop:
      node.mProcess->StopAndStart(kStopGrace);
      break;
    case FaultKind::NodeFreeze:
      node.mProcess->Freeze(milliseconds(aFault.mFor));
      break;
    default:
      CutStore(node, aFault);
      break;
  }
}

Lines
World::Run()
{
  mOperator.Change();
  mTargets.Sync(false);
  for (const Node& it : mNodes) {
    it.mProcess->Start(true);
  }
  std::vector<std::thread> threads;
  threads.emplace_back([this] {
    while (!mStopping) {
      mTargets.Sync(mIsStoreAway);
      std::this_thread::sleep_for(kSyncInterval);
    }
  });
  threads.emplace_back([this] {
    while (!mStopping) {
      RestartEndedNodes();
      std::this_thread::sleep_for(kEndPollInterval);
    }
  });
  WaitUntil(kTrafficAt);
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < mScenario.mCallersPerNode * mNodes.size(); ++i) {
    callers.push_back(MakeCaller(i));
    threads.emplace_back(
      [this, caller = callers.back().get()] { caller->Run(mStopping); });
  }
  std::vector<std::thread> faults;
  for (const Fault& it :
       mScenario.mDrawsFaults ? DrawFaults(mScenario) : mScenario.mFaults) {
    faults.emplace_back([this, it] { Cause(it); });
  }
  for (std::thread& it : faults) {
    it.join();
  }
  WaitUntil(mScenario.mRunTime);
  mStopping = true;
  for (std::thread& it : threads) {
    it.join();
  }
  return mRecorder.All();
}

} // namespace

Lines
Play(const Scenario& aScenario,
     const std::string& aProgram,
     const std::string& aFolder)
{
  World world(aScenario, aProgram, aFolder);
  return world.Run();
}

} // namespace hibiscushold::emulator
