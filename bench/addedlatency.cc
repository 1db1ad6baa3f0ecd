#include "bench/caller.h"
#include "bench/fleet.h"
#include "bench/openloop.h"
#include "bench/scenario.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace hibiscushold::bench {

namespace {

constexpr uint32_t kTokens = 16;
constexpr size_t kOpenLoopThreads = 64;
constexpr size_t kClosedLoopThreads = 16;
constexpr auto kIdleTimeout = seconds(5);
constexpr double kMaxAddedP50Millis = 1.0;
constexpr double kMaxAddedP99Millis = 5.0;

/// One path to the engine, and the results of the calls on it.
struct CallPath
{
  std::string mName;
  Endpoint mAddress;
  std::mutex mLock;
  std::vector<Duration> mLatencies;
  size_t mFailed = 0;
};

class AddedRun
{
public:
  AddedRun(const Endpoint& aEngine, const Endpoint& aNode)
    : mPool(mClock)
  {
    mPaths[0].mName = "direct";
    mPaths[0].mAddress = aEngine;
    mPaths[1].mName = "through a node";
    mPaths[1].mAddress = aNode;
  }

  /// Alternates between the paths, so that other load of the machine affects
  /// both alike.
  void OpenLoop(std::mt19937_64& aRandom, double aRate, uint32_t aSeconds)
  {
    const auto count = static_cast<size_t>(aRate * aSeconds);
    RunOpenLoop(MakeSchedule(aRandom, count, aRate),
                kOpenLoopThreads,
                [this](size_t aIndex, TimePoint aIntended) {
                  MakeCall(mPaths[aIndex % 2], aIndex, aIntended);
                });
  }

  /// @return complete answers per second with a fixed number of callers
  double ClosedLoop(CallPath& aPath, uint32_t aSeconds)
  {
    const TimePoint start = mClock.Now();
    const TimePoint end = start + seconds(aSeconds);
    std::atomic<size_t> complete{ 0 };
    {
      std::vector<std::jthread> threads;
      for (size_t i = 0; i < kClosedLoopThreads; ++i) {
        threads.emplace_back([&] {
          while (mClock.Now() < end) {
            complete += CallOnce(aPath, "closed") ? 1 : 0;
          }
        });
      }
    }
    const std::chrono::duration<double> elapsed = mClock.Now() - start;
    return static_cast<double>(complete) / elapsed.count();
  }

  bool Report(Output& aOutput, uint32_t aSeconds)
  {
    for (CallPath& it : mPaths) {
      Json::Value row;
      row["way"] = it.mName;
      row["calls"] = Json::UInt64(it.mLatencies.size());
      row["failed"] = Json::UInt64(it.mFailed);
      row["p50_ms"] = QuantileMillis(it.mLatencies, 0.5);
      row["p99_ms"] = QuantileMillis(it.mLatencies, 0.99);
      row["closed_per_s"] = ClosedLoop(it, aSeconds);
      aOutput.AddRow("way", row);
    }
    const double p50 = AddedMillis(0.5);
    const double p99 = AddedMillis(0.99);
    Json::Value row;
    row["added_p50_ms"] = p50;
    row["added_p99_ms"] = p99;
    row["target_p50_ms"] = kMaxAddedP50Millis;
    row["target_p99_ms"] = kMaxAddedP99Millis;
    aOutput.AddRow("added", row);
    return p50 < kMaxAddedP50Millis && p99 < kMaxAddedP99Millis &&
           mPaths[1].mFailed == 0;
  }

private:
  bool CallOnce(const CallPath& aPath, const std::string& aPrompt)
  {
    Call call;
    call.mAddress = aPath.mAddress;
    call.mKey = kDeskKey;
    call.mBody = ChatBody(aPrompt, kTokens, false);
    const CallResult result = Caller(mPool, mClock).Send(call, kIdleTimeout);
    return result.mComplete &&
           result.mContent == ExpectedContent(aPrompt, kTokens);
  }

  void MakeCall(CallPath& aPath, size_t aIndex, TimePoint aIntended)
  {
    const bool complete =
      CallOnce(aPath, "prompt " + std::to_string(aIndex / 2));
    const Duration latency = mClock.Now() - aIntended;
    const std::lock_guard guard(aPath.mLock);
    if (complete) {
      aPath.mLatencies.push_back(latency);
    } else {
      ++aPath.mFailed;
    }
  }

  double AddedMillis(double aQuantile) const
  {
    return QuantileMillis(mPaths[1].mLatencies, aQuantile) -
           QuantileMillis(mPaths[0].mLatencies, aQuantile);
  }

  const SystemClock mClock;
  SessionPool mPool;
  CallPath mPaths[2];
};

} // namespace

Result<bool>
RunAdded(const ScenarioOptions& aOptions, Output& aOutput)
{
  FleetOptions options;
  options.mCopies = 1;
  options.mSpares = 0;
  Fleet fleet(options);
  BOOST_OUTCOME_TRY(fleet.Start());
  BOOST_OUTCOME_TRY(headVm, fleet.AddressOfServingHeadVm());
  std::mt19937_64 random(aOptions.mSeed);
  const double rate = aOptions.mRate > 0 ? aOptions.mRate : 400;
  const uint32_t stepSeconds =
    aOptions.mStepSeconds > 0 ? aOptions.mStepSeconds : 10;
  AddedRun run(headVm, fleet.CallerAddress(0));
  run.OpenLoop(random, rate, stepSeconds);
  return run.Report(aOutput, std::max(1U, stepSeconds / 5));
}

} // namespace hibiscushold::bench
