#include "bench/caller.h"
#include "bench/fleet.h"
#include "bench/openloop.h"
#include "bench/scenario.h"

#include <algorithm>
#include <mutex>

namespace hibiscushold::bench {

namespace {

constexpr uint32_t kTokens = 10;
constexpr auto kTimePerToken = milliseconds(5);
constexpr uint32_t kSlots = 4;
constexpr uint32_t kCopies = 2;
constexpr size_t kMaxConcurrentCalls = 1200;
constexpr auto kTimeout = milliseconds(1000);
constexpr double kLoadFactors[] = { 0.5, 1, 2, 4 };
constexpr double kMinGoodputShare = 0.9;
/// One request of this many is urgent.
constexpr size_t kRequestsPerUrgent = 4;

/// Results of the requests of one priority class in one step.
struct ClassCounts
{
  size_t mOffered = 0;
  size_t mGood = 0; ///< complete answers within the timeout
  size_t mRefused = 0;
  size_t mLost = 0;                 ///< got no status line
  std::vector<Duration> mLatencies; ///< of complete answers
  std::vector<Duration> mRefusalLatencies;
};

struct StepCounts
{
  std::mutex mLock;
  ClassCounts mUrgent;
  ClassCounts mBulk;
};

/// @return requests per second that the engines can run
double
Capacity()
{
  const std::chrono::duration<double> oneRequest = kTokens * kTimePerToken;
  return kCopies * kSlots / oneRequest.count();
}

void
CountResult(ClassCounts& aCounts,
            const CallResult& aResult,
            Duration aLatency,
            bool aIsOwnAnswer)
{
  ++aCounts.mOffered;
  if (aResult.mComplete && aResult.mStatus == 200 && aIsOwnAnswer) {
    aCounts.mLatencies.push_back(aLatency);
    aCounts.mGood += aLatency <= kTimeout ? 1 : 0;
  } else if (aResult.mStatus != 0) {
    ++aCounts.mRefused;
    aCounts.mRefusalLatencies.push_back(aLatency);
  } else {
    ++aCounts.mLost;
  }
}

Json::Value
RowOf(double aLoadFactor,
      const char* aClass,
      const ClassCounts& aCounts,
      double aElapsedSeconds)
{
  Json::Value row;
  row["load"] = aLoadFactor;
  row["class"] = aClass;
  row["offered"] = Json::UInt64(aCounts.mOffered);
  row["good"] = Json::UInt64(aCounts.mGood);
  row["good_per_s"] = static_cast<double>(aCounts.mGood) / aElapsedSeconds;
  row["refused"] = Json::UInt64(aCounts.mRefused);
  row["lost"] = Json::UInt64(aCounts.mLost);
  row["p50_ms"] = QuantileMillis(aCounts.mLatencies, 0.5);
  row["p99_ms"] = QuantileMillis(aCounts.mLatencies, 0.99);
  row["refusal_p99_ms"] = QuantileMillis(aCounts.mRefusalLatencies, 0.99);
  return row;
}

/// @return good answers per second, of both classes
double
RunStep(Fleet& aFleet,
        std::mt19937_64& aRandom,
        double aLoadFactor,
        uint32_t aSeconds,
        Output& aOutput)
{
  const SystemClock clock;
  SessionPool pool(clock);
  StepCounts step;
  const double rate = aLoadFactor * Capacity();
  const auto count = static_cast<size_t>(rate * aSeconds);
  const TimePoint start = clock.Now();
  RunOpenLoop(MakeSchedule(aRandom, count, rate),
              kMaxConcurrentCalls,
              [&](size_t aIndex, TimePoint aIntended) {
                const bool urgent = aIndex % kRequestsPerUrgent == 0;
                const std::string prompt = "load " + std::to_string(aIndex);
                Call call;
                call.mAddress = aFleet.CallerAddress(aIndex % 3);
                call.mKey = urgent ? kDeskKey : kMillKey;
                call.mBody = ChatBody(prompt, kTokens, false);
                const CallResult result =
                  Caller(pool, clock).Send(call, 2 * kTimeout);
                const bool isOwnAnswer =
                  result.mContent == ExpectedContent(prompt, kTokens);
                const std::lock_guard guard(step.mLock);
                CountResult(urgent ? step.mUrgent : step.mBulk,
                            result,
                            result.mEndedAt - aIntended,
                            isOwnAnswer);
              });
  const std::chrono::duration<double> elapsed = clock.Now() - start;
  aOutput.AddRow("load",
                 RowOf(aLoadFactor, "urgent", step.mUrgent, elapsed.count()));
  aOutput.AddRow("load",
                 RowOf(aLoadFactor, "bulk", step.mBulk, elapsed.count()));
  return static_cast<double>(step.mUrgent.mGood + step.mBulk.mGood) /
         elapsed.count();
}

} // namespace

Result<bool>
RunLoad(const ScenarioOptions& aOptions, Output& aOutput)
{
  FleetOptions options;
  options.mCopies = kCopies;
  options.mSpares = 0;
  options.mSlots = kSlots;
  options.mTimePerToken = kTimePerToken;
  options.mTimeout = kTimeout;
  Fleet fleet(options);
  BOOST_OUTCOME_TRY(fleet.Start());
  std::mt19937_64 random(aOptions.mSeed);
  const uint32_t stepSeconds =
    aOptions.mStepSeconds > 0 ? aOptions.mStepSeconds : 5;
  double peak = 0;
  double last = 0;
  for (const double it : kLoadFactors) {
    last = RunStep(fleet, random, it, stepSeconds, aOutput);
    peak = std::max(peak, last);
  }
  Json::Value row;
  row["capacity_per_s"] = Capacity();
  row["peak_per_s"] = peak;
  row["at_four_per_s"] = last;
  row["held"] = peak > 0 ? last / peak : 0;
  aOutput.AddRow("goodput", row);
  return last >= kMinGoodputShare * peak;
}

} // namespace hibiscushold::bench
