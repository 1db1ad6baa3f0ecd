#include "fakeplatform.h"
#include "fleet/silence.h"
#include "placement/planrunner.h"

#include <CppUTest/TestHarness.h>

#include <condition_variable>
#include <new>
#include <thread>

using namespace hibiscushold;

namespace {

/// Silence of a sound VM.
constexpr auto kSilence = milliseconds(1000);
/// A VM that is silent for good must be given up within this time, of which a
/// busy machine may take a part.
constexpr auto kGivenUpWithin = seconds(8);
/// A node that is cut off gives up the lease, and may take it again after the
/// cut, within this time, of which a busy machine may take a part.
constexpr auto kLeaseChangesWithin = seconds(8);
constexpr const char* kService = "drafting";

/// Engines that respond at once, except one or all that may be silent.
class ScriptedEngines final : public EngineControl
{
public:
  OrderOutcome SendOrder(const FleetOrder& aOrder) override
  {
    std::unique_lock guard(mLock);
    ++mHeldOrders;
    mReleased.wait(guard, [this] { return !mHolds; });
    --mHeldOrders;
    mOrders.push_back(aOrder);
    return OrderOutcome::AlreadyDone;
  }

  /// @param aHolds whether orders get no response until this is called again
  void SetHolds(bool aHolds)
  {
    {
      const std::lock_guard guard(mLock);
      mHolds = aHolds;
    }
    mReleased.notify_all();
  }

  size_t CountHeldOrders() const
  {
    const std::lock_guard guard(mLock);
    return mHeldOrders;
  }

  Result<EngineReport> GetReport(const Endpoint& aTo,
                                 milliseconds aTimeout) override
  {
    {
      const std::lock_guard guard(mLock);
      if (mFailsProbes) {
        ++mFailedProbes;
        throw std::bad_alloc();
      }
      if (aTo != mSilent && !mAllSilent) {
        return EngineReport{};
      }
      ++mProbes;
      mMaxOpenProbes = std::max(mMaxOpenProbes, ++mOpenProbes);
    }
    std::this_thread::sleep_for(aTimeout);
    const std::lock_guard guard(mLock);
    --mOpenProbes;
    return Failure{ Error::TimedOut, "scripted", "" };
  }

  void SetSilent(const Endpoint& aVm)
  {
    const std::lock_guard guard(mLock);
    mSilent = aVm;
  }

  size_t CountOrders() const
  {
    const std::lock_guard guard(mLock);
    return mOrders.size();
  }

  mutable std::mutex mLock; ///< guards the members below
  std::condition_variable mReleased;
  bool mHolds = false;
  size_t mHeldOrders = 0;
  Endpoint mSilent;
  bool mAllSilent = false;
  bool mFailsProbes = false;
  int mFailedProbes = 0;
  std::vector<FleetOrder> mOrders;
  int mProbes = 0; ///< of the silent VM
  int mOpenProbes = 0;
  int mMaxOpenProbes = 0;
};

} // namespace

TEST_GROUP(PlanRunner)
{
  SystemClock mClock;
  FakePlatform mStore;
  FleetVms mVms;
  TargetLoads mLoads;
  Metrics mMetrics;
  std::atomic<bool> mReachesTargets{ true };
  std::atomic<bool> mStopping{ false };
  ScriptedEngines mEngines;
  FleetWatcher mWatcher{ mStore,
                         { "vm/",
                           "config/",
                           "config/main",
                           [this](const Object& aObject) -> Result<FleetVm> {
                             return mVms.at(aObject.mKey.substr(3));
                           },
                           [](const Object&) -> Result<FleetConfig> {
                             return MakeConfig();
                           } },
                         mClock };
  ZonesOutPtr mZones = std::make_shared<const ZonesOut>();
  std::unique_ptr<PlanRunner> mRunner;

  static FleetConfig MakeConfig()
  {
    EngineSpec engine;
    engine.mModels = { { "small", 3, 1, 1, seconds(12), milliseconds(1100) } };
    FleetConfig config;
    config.mVersion = 1;
    config.mServices[kService] = { kService, engine };
    return config;
  }

  /// Lists an open group of three VMs, whose head has a request without any
  /// progress, and makes the node under test the planner.
  void setup() override
  {
    for (uint32_t rank = 0; rank < 3; ++rank) {
      FleetVm vm;
      vm.mId = "v" + std::to_string(rank);
      vm.mStartedMillis = 1;
      vm.mService = kService;
      vm.mAddress = { "10.0.0.1", static_cast<uint16_t>(1000 + rank) };
      vm.mDomain = "d0";
      vm.mStaged = { "small" };
      const MembershipPhase phase =
        rank == 0 ? MembershipPhase::Open : MembershipPhase::Ready;
      vm.mMembership = GroupMembership{ { "g1", 1 }, rank, phase, "small" };
      mVms[vm.mId] = vm;
      mStore.mObjects["vm/" + vm.mId] = { "vm/" + vm.mId, 1, "" };
    }
    mStore.mObjects["config/main"] = { "config/main", 1, "" };
    mRunner = std::make_unique<PlanRunner>(
      "n1",
      PlanRunner::Dependencies{ mStore,
                                mWatcher,
                                mEngines,
                                mLoads,
                                mMetrics,
                                mClock,
                                [] { return true; },
                                [this] { return mZones; },
                                [this] { return mReachesTargets.load(); },
                                mStopping },
      PlannerLimits{});
    mLoads.Begin("v0", mClock.Now() - seconds(1));
    mWatcher.PollConfig(Duration::zero());
    RunFor(milliseconds(50));
  }

  /// Runs the planner until it holds the lease, or doesn't any more.
  /// @return whether that came in time
  bool RunUntilItHoldsTheLease(bool aHolds)
  {
    const TimePoint end = mClock.Now() + kLeaseChangesWithin;
    while (mClock.Now() < end && mRunner->IsLeaseHolder() != aHolds) {
      RunFor(milliseconds(100));
    }
    return mRunner->IsLeaseHolder() == aHolds;
  }

  void SetAllSilent(bool aSilent)
  {
    const std::lock_guard guard(mEngines.mLock);
    mEngines.mAllSilent = aSilent;
  }

  /// Lists more open groups, whose heads have a request without any progress.
  void AddGroups(uint32_t aCount)
  {
    for (uint32_t group = 2; group < 2 + aCount; ++group) {
      for (uint32_t rank = 0; rank < 3; ++rank) {
        FleetVm vm = mVms["v" + std::to_string(rank)];
        vm.mId = "w" + std::to_string(group) + "-" + std::to_string(rank);
        vm.mAddress.mPort = static_cast<uint16_t>(1000 + 10 * group + rank);
        vm.mDomain = "d" + std::to_string(group);
        vm.mMembership->mKey = { "g" + std::to_string(group), group };
        mVms[vm.mId] = vm;
        (void)mStore.Create("vm/" + vm.mId, "", CallPriority::Config);
        if (rank == 0) {
          mLoads.Begin(vm.mId, mClock.Now() - seconds(1));
        }
      }
    }
  }

  /// Lists VMs without a group, three to a domain.
  void AddFreeVms(uint32_t aDomains)
  {
    for (uint32_t domain = 0; domain < aDomains; ++domain) {
      for (uint32_t n = 0; n < 3; ++n) {
        FleetVm vm = mVms["v0"];
        vm.mId = "f" + std::to_string(domain) + "-" + std::to_string(n);
        vm.mAddress.mPort = static_cast<uint16_t>(2000 + 10 * domain + n);
        vm.mDomain = "free-" + std::to_string(domain);
        vm.mMembership.reset();
        mVms[vm.mId] = vm;
        (void)mStore.Create("vm/" + vm.mId, "", CallPriority::Config);
      }
    }
  }

  void RemoveFreeVms()
  {
    for (const auto& [id, vm] : mVms) {
      if (!vm.mMembership) {
        (void)mStore.Delete(
          "vm/" + id, mStore.VersionOf("vm/" + id), CallPriority::Config);
      }
    }
  }

  /// Runs the planner for a time, or until it has sent an order.
  void RunFor(Duration aTime)
  {
    const TimePoint end = mClock.Now() + aTime;
    while (mClock.Now() < end && mEngines.CountOrders() == 0) {
      mRunner->UpdateLease(false);
      mWatcher.PollVms(Duration::zero());
      mRunner->PlanOnce();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
};

// Guards against giving up a group, with its streams, because a sound member
// responds to no probe for about a second.
TEST(PlanRunner, AMemberThatIsSilentForASecondCostsNothing)
{
  CHECK(mRunner->IsLeaseHolder());
  mEngines.SetSilent(mVms["v1"].mAddress);
  RunFor(kSilence);
  mEngines.SetSilent({});
  RunFor(kSilence);
  mRunner.reset();
  CHECK_EQUAL(0U, mEngines.CountOrders());
  CHECK(mEngines.mProbes > 0);
}

// Guards against a silent VM that is probed once and then forgotten, and
// against probes of it that pile up.
TEST(PlanRunner, AMemberThatIsSilentForGoodIsProbedUntilItIsGivenUp)
{
  const TimePoint start = mClock.Now();
  mEngines.SetSilent(mVms["v1"].mAddress);
  RunFor(kGivenUpWithin);
  mRunner.reset();
  CHECK_EQUAL(1U, mEngines.CountOrders());
  CHECK(mClock.Now() - start > kSilenceTolerance);
  CHECK(OrderKind::Leave == mEngines.mOrders.front().mKind);
  STRCMP_EQUAL("v0", mEngines.mOrders.front().mVmId.c_str());
  CHECK_EQUAL(1, mEngines.mMaxOpenProbes);
}

// Guards against probes that reach a VM which asked for no requests.
TEST(PlanRunner, AVmThatAskedForQuietIsNotProbed)
{
  mLoads.RecordQuiet("v1", mClock.Now() + seconds(5));
  mEngines.SetSilent(mVms["v1"].mAddress);
  RunFor(milliseconds(600));
  mRunner.reset();
  CHECK_EQUAL(0, mEngines.mProbes);
}

// Guards against a planner that loses the way to all VMs and dissolves all
// groups, which the other nodes still reach.
TEST(PlanRunner, ANodeThatIsCutOffGivesUpTheLeaseAndNoGroup)
{
  AddGroups(4);
  RunFor(milliseconds(100));
  CHECK(mRunner->IsLeaseHolder());
  SetAllSilent(true);
  CHECK(RunUntilItHoldsTheLease(false));
  CHECK_EQUAL(0U, mEngines.CountOrders());
  SetAllSilent(false);
  CHECK(RunUntilItHoldsTheLease(true));
  CHECK_EQUAL(0U, mEngines.CountOrders());
  mRunner.reset();
}

// Guards against VMs that wait for orders of a planner which can't reach them,
// and does not notice it as it has no requests of its own there.
TEST(PlanRunner, ANodeThatReachesNoTargetLeavesTheLeaseToOthers)
{
  CHECK(mRunner->IsLeaseHolder());
  mReachesTargets = false;
  CHECK(RunUntilItHoldsTheLease(false));
  mReachesTargets = true;
  CHECK(RunUntilItHoldsTheLease(true));
  mRunner.reset();
}

// Guards against an order that waited for a thread and takes effect after its
// group was given up.
TEST(PlanRunner, AnOrderOfAGroupThatWasGivenUpIsNotSent)
{
  constexpr size_t kThreads = 24;
  mEngines.SetHolds(true);
  AddFreeVms(10);
  const TimePoint end = mClock.Now() + kGivenUpWithin;
  while (mClock.Now() < end && mEngines.CountHeldOrders() < kThreads) {
    RunFor(milliseconds(50));
  }
  CHECK_EQUAL(kThreads, mEngines.CountHeldOrders());
  RemoveFreeVms();
  RunFor(milliseconds(200));
  mEngines.SetHolds(false);
  std::this_thread::sleep_for(milliseconds(300));
  mRunner.reset();
  CHECK_EQUAL(kThreads, mEngines.CountOrders());
}

// The failure: a planner that starts while the store turns it away for the
// zones only, and forms groups in a zone out of service.
TEST(PlanRunner, FormsNothingBeforeItKnowsTheZones)
{
  mZones = nullptr;
  AddFreeVms(2);
  CHECK(RunUntilItHoldsTheLease(true));
  RunFor(milliseconds(1500));
  CHECK_EQUAL(0U, mEngines.CountOrders());
  mZones = std::make_shared<const ZonesOut>();
  const TimePoint end = mClock.Now() + kGivenUpWithin;
  while (mClock.Now() < end && mEngines.CountOrders() == 0) {
    RunFor(milliseconds(50));
  }
  CHECK(mEngines.CountOrders() > 0);
}

TEST_GROUP(CutSuggestion){};

// Guards against a planner that takes the loss of a domain, a zone or half of
// the VMs for a cut of its own, and replaces nothing.
TEST(CutSuggestion, VmsThatRespondSpeakAgainstACut)
{
  CHECK(SuggestsCut({ 45, 0 }));
  CHECK(SuggestsCut({ 45, 1 }));
  CHECK(!SuggestsCut({ 8, 0 }));
  CHECK(!SuggestsCut({ 9, 10 }));
  CHECK(!SuggestsCut({ 18, 8 }));
  CHECK(!SuggestsCut({ 27, 6 }));
}

// Guards against old calls, or a single lost one, that count for a cut.
TEST(CutSuggestion, OnlyRecentCallsCount)
{
  const TimePoint now{ std::chrono::hours(1) };
  CallSummary summary;
  VmSilence silence;
  RecordMiss(silence, { now, now + milliseconds(120) });
  Summarize(silence, now + milliseconds(130), summary);
  CHECK_EQUAL(0U, summary.mMissing);
  RecordMiss(silence, { now + milliseconds(200), now + milliseconds(320) });
  Summarize(silence, now + milliseconds(330), summary);
  CHECK_EQUAL(1U, summary.mMissing);
  Summarize(silence, now + milliseconds(1400), summary);
  CHECK_EQUAL(1U, summary.mMissing);
  RecordResponse(silence, { now, now + milliseconds(1500) });
  Summarize(silence, now + milliseconds(1600), summary);
  CHECK_EQUAL(1U, summary.mResponding);
}

// Guards against a VM that is never probed again after one probe failed within
// the node, as when it was refused memory.
TEST(PlanRunner, AVmIsProbedAgainAfterAProbeThatFailed)
{
  {
    const std::lock_guard guard(mEngines.mLock);
    mEngines.mFailsProbes = true;
  }
  RunFor(seconds(3));
  const std::lock_guard guard(mEngines.mLock);
  CHECK(mEngines.mFailedProbes > 3); // more than one for each VM
}
