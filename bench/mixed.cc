#include "bench/mixed.h"

#include "bench/fleet.h"
#include "bench/openloop.h"
#include "bench/scenario.h"
#include "core/json.h"

#include <algorithm>
#include <future>
#include <thread>

namespace hibiscushold::bench {

namespace {

constexpr double kCallsPerSecond = 120;
constexpr uint32_t kRunSeconds = 30;
constexpr size_t kMaxConcurrentCalls = 200;
constexpr auto kIdleTimeout = seconds(8);
constexpr auto kSampleInterval = milliseconds(250);
constexpr size_t kNodes = 3;
/// Faults are injected during this share of a run. The rest has none, so that
/// the timeline shows the recovery.
constexpr double kFaultShare = 0.8;

/// A fault to inject.
struct FaultKind
{
  const char* mName;
  const char* mComponent; ///< engine, service, platform or node
  const char* mValue;
  milliseconds mDuration; ///< until it is cleared; 0 if it ends by itself
};

constexpr FaultKind kFaults[] = {
  { "freeze", "engine", "1", milliseconds(4000) },
  { "truncate", "engine", "3", milliseconds(0) },
  { "crossed", "engine", "3", milliseconds(0) },
  { "refuse", "engine", "5", milliseconds(0) },
  { "slow_token", "engine", "40", milliseconds(2000) },
  { "restart", "engine", "", milliseconds(0) },
  { "lost_answer", "service", "3", milliseconds(0) },
  { "refuse", "service", "3", milliseconds(0) },
  { "cut", "service", "3", milliseconds(0) },
  { "slow", "service", "100", milliseconds(1500) },
  { "outage", "platform", "1", milliseconds(3000) },
  { "slow", "platform", "50", milliseconds(2000) },
  { "lost_answer", "platform", "5", milliseconds(0) },
  { "node_stop", "node", "", milliseconds(0) },
};

class MixedRun
{
public:
  MixedRun(Fleet& aFleet, const ScenarioOptions& aOptions, Output& aOutput)
    : mFleet(aFleet)
    , mRandom(aOptions.mSeed)
    , mOutput(aOutput)
    , mPool(mClock)
    , mStart(mClock.Now())
    , mDuration(aOptions.mStepSeconds > 0 ? aOptions.mStepSeconds : kRunSeconds)
    , mRate(aOptions.mRate > 0 ? aOptions.mRate : kCallsPerSecond)
  {
  }

  MixedCounts Run()
  {
    const auto count = static_cast<size_t>(mRate * mDuration);
    const std::vector<Duration> schedule = MakeSchedule(mRandom, count, mRate);
    const uint64_t faultSeed = mRandom();
    MakeCalls(count);
    {
      const std::jthread faults([&] { InjectFaults(faultSeed); });
      const std::jthread samples(
        [this](const std::stop_token& aStop) { SampleGroups(aStop); });
      RunOpenLoop(
        schedule, kMaxConcurrentCalls, [this](size_t aIndex, TimePoint) {
          Make(mCalls[aIndex], aIndex);
        });
    }
    std::map<std::string, uint64_t> serviceRuns;
    for (const MixedCall& it : mCalls) {
      if (it.mAtMostOnce) {
        serviceRuns[it.mText] = mFleet.Service().RunsOf(it.mText);
      }
    }
    return CountMixed(mCalls, mFleet.EngineRuns(), serviceRuns);
  }

private:
  /// Every third call may run at most once. Every other one of these is
  /// repeated by the next call, through another node and with the same key.
  void MakeCalls(size_t aCount)
  {
    mCalls.resize(aCount);
    for (size_t i = 0; i < aCount; ++i) {
      MixedCall& call = mCalls[i];
      const bool isRepeat = i % 6 == 1;
      call.mAtMostOnce = i % 3 == 0 || isRepeat;
      call.mText = "call " + std::to_string(isRepeat ? i - 1 : i);
      call.mTokens = static_cast<uint32_t>(4 + mRandom() % 20);
    }
  }

  void Make(MixedCall& aCall, size_t aIndex)
  {
    Call call;
    call.mKey = kDeskKey;
    if (aCall.mAtMostOnce) {
      call.mPath = "/services/ledger/confirm";
      call.mIdempotencyKey = "key " + aCall.mText;
      call.mBody = aCall.mText;
    } else {
      call.mBody = ChatBody(aCall.mText, aCall.mTokens, aIndex % 2 == 0);
    }
    // Skips a node that is down, as the platform's balancer does.
    for (size_t i = 0; i < kNodes && !aCall.mResult.mConnected; ++i) {
      call.mAddress = mFleet.CallerAddress((aIndex + i) % kNodes);
      aCall.mResult = Caller(mPool, mClock).Send(call, kIdleTimeout);
    }
  }

  void InjectFaults(uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    const TimePoint end = mStart + std::chrono::duration_cast<Duration>(
                                     mDuration * kFaultShare * seconds(1));
    std::uniform_int_distribution<int> gap(200, 1500);
    std::this_thread::sleep_for(seconds(1));
    while (mClock.Now() < end) {
      const FaultKind& kind = kFaults[random() % std::size(kFaults)];
      const size_t index = random() % mFleet.VmCount();
      RecordFault(kind, index);
      InjectFault(kind, index);
      std::this_thread::sleep_for(milliseconds(gap(random)));
    }
  }

  void InjectFault(const FaultKind& aKind, size_t aIndex)
  {
    const std::string component = aKind.mComponent;
    if (component == "node") {
      RestartNode(aIndex % kNodes);
      return;
    }
    if (std::string(aKind.mName) == "restart") {
      mFleet.RestartEngine(aIndex);
      return;
    }
    standin::FaultSwitches& switches =
      component == "engine"    ? EngineFaults(aIndex)
      : component == "service" ? mFleet.Service().Faults()
                               : mFleet.Platform().Faults();
    switches.Set(aKind.mName, aKind.mValue);
    if (aKind.mDuration.count() > 0) {
      std::this_thread::sleep_for(aKind.mDuration);
      switches.Set(aKind.mName, "");
    }
  }

  /// Closes the callers' idle connections during the restart, as they would
  /// delay the stop.
  void RestartNode(size_t aIndex)
  {
    const auto restart = std::async(
      std::launch::async, [this, aIndex] { mFleet.RestartNode(aIndex); });
    do {
      mPool.DiscardCreatedBefore(mFleet.CallerAddress(aIndex), mClock.Now());
    } while (restart.wait_for(milliseconds(50)) != std::future_status::ready);
  }

  standin::FaultSwitches& EngineFaults(size_t aIndex)
  {
    return mFleet.Engine(aIndex).Faults();
  }

  double Elapsed() const
  {
    return std::chrono::duration<double>(mClock.Now() - mStart).count();
  }

  void RecordFault(const FaultKind& aKind, size_t aIndex)
  {
    Json::Value row;
    row["t_s"] = Elapsed();
    row["fault"] = aKind.mName;
    row["target"] =
      std::string(aKind.mComponent) + " " + std::to_string(aIndex);
    row["length_s"] = static_cast<double>(aKind.mDuration.count()) / 1000;
    mOutput.AddRow("fault", row);
  }

  /// Records serving copies and VMs outside of them, as the first node that
  /// answers reports them.
  void SampleGroups(const std::stop_token& aStop)
  {
    while (!aStop.stop_requested()) {
      std::this_thread::sleep_for(kSampleInterval);
      Json::Value groups(Json::arrayValue);
      for (size_t i = 0; i < kNodes && groups.empty(); ++i) {
        groups = mFleet.Groups(i);
      }
      uint64_t serving = 0;
      uint64_t busy = 0;
      for (const Json::Value& it : groups) {
        if (FlagAt(it, "serving")) {
          ++serving;
          busy += it["vms"].size();
        }
      }
      Json::Value row;
      row["t_s"] = Elapsed();
      row["serving"] = Json::UInt64(serving);
      row["stranded"] = Json::UInt64(mFleet.VmCount() - busy);
      mOutput.AddRow("timeline", row);
    }
  }

  Fleet& mFleet;
  std::mt19937_64 mRandom;
  Output& mOutput;
  const SystemClock mClock;
  SessionPool mPool;
  const TimePoint mStart;
  const uint32_t mDuration;
  const double mRate;
  std::vector<MixedCall> mCalls;
};

Json::Value
RowOf(const MixedCounts& aCounts)
{
  Json::Value row;
  row["calls"] = Json::UInt64(aCounts.mCalls);
  row["answered"] = Json::UInt64(aCounts.mAnswered);
  row["not_run"] = Json::UInt64(aCounts.mRefusedNotRun);
  row["unknown"] = Json::UInt64(aCounts.mRefusedUnknown);
  row["broken"] = Json::UInt64(aCounts.mBroken);
  row["doubled"] = Json::UInt64(aCounts.mDoubled);
  row["crossed"] = Json::UInt64(aCounts.mCrossed);
  row["truncated"] = Json::UInt64(aCounts.mTruncated);
  row["false_not_run"] = Json::UInt64(aCounts.mFalseNotRun);
  return row;
}

} // namespace

Result<bool>
RunMixed(const ScenarioOptions& aOptions, Output& aOutput)
{
  FleetOptions options;
  options.mNodes = kNodes;
  options.mTimePerToken = milliseconds(2);
  options.mSlots = 32;
  Fleet fleet(options);
  BOOST_OUTCOME_TRY(fleet.Start());
  const MixedCounts counts = MixedRun(fleet, aOptions, aOutput).Run();
  aOutput.AddRow("counts", RowOf(counts));
  return counts.mAnswered > 0 && counts.mDoubled == 0 && counts.mCrossed == 0 &&
         counts.mTruncated == 0 && counts.mFalseNotRun == 0;
}

} // namespace hibiscushold::bench
