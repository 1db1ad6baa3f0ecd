// Simulates target selection policies on the same seeded arrivals: the nodes'
// decision function, random choice and least in-flight requests.
#include "route/choose.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace hibiscushold;

constexpr size_t kTargets = 8;
constexpr size_t kNodes = 4;
constexpr size_t kSlots = 16;
constexpr size_t kCachedPrefixes = 24; ///< prefixes that a target caches
/// Equally likely; twice as many as all targets cache.
constexpr size_t kPrefixes = 384;
constexpr size_t kRequests = 60000;
constexpr uint32_t kNodeLimit = 6; ///< requests of one node at one target
constexpr auto kCacheHitTime = milliseconds(200);
constexpr auto kCacheMissTime = milliseconds(500);
constexpr auto kReportInterval = milliseconds(700);

enum class Policy
{
  Random,
  LeastInFlight,
  BoundedPrefix,
};

/// Cache of the most recently used prefixes.
class PrefixCache
{
public:
  /// Moves the prefix to the front, adding it if needed.
  /// @return whether it was in the cache
  bool Use(size_t aPrefix)
  {
    const auto it = mPositions.find(aPrefix);
    const bool hit = it != mPositions.end();
    if (hit) {
      mOrder.erase(it->second);
    }
    mOrder.push_front(aPrefix);
    mPositions[aPrefix] = mOrder.begin();
    if (mOrder.size() > kCachedPrefixes) {
      mPositions.erase(mOrder.back());
      mOrder.pop_back();
    }
    return hit;
  }

private:
  std::list<size_t> mOrder;
  std::map<size_t, std::list<size_t>::iterator> mPositions;
};

struct Request
{
  size_t mNode = 0;
  size_t mPrefix = 0;
  size_t mTarget = 0;
  TimePoint mArrivedAt;
};

struct Target
{
  PrefixCache mCache;
  std::deque<Request> mQueue;
  uint32_t mRunning = 0;
  LoadReport mReport;
};

struct Completion
{
  TimePoint mAt;
  Request mRequest;

  bool operator>(const Completion& aOther) const { return mAt > aOther.mAt; }
};

struct Results
{
  double mHitShare = 0;
  double mWaitP99Millis = 0;
  double mTotalP99Millis = 0;
};

class Simulation
{
public:
  Simulation(Policy aPolicy, uint64_t aSeed, double aPerSecond)
    : mPolicy(aPolicy)
    , mRandom(aSeed)
    , mPerSecond(aPerSecond)
    , mTargets(kTargets)
    , mInFlight(kNodes, std::vector<uint32_t>(kTargets))
  {
  }

  Results Run()
  {
    std::exponential_distribution<double> gap(mPerSecond);
    for (size_t i = 0; i < kRequests; ++i) {
      mNow += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(mRandom)));
      CompleteUntil(mNow);
      Report();
      Arrive();
    }
    CompleteUntil(TimePoint::max());
    return { static_cast<double>(mHits) / kRequests,
             Percentile99(mWaits),
             Percentile99(mTotals) };
  }

private:
  void Arrive()
  {
    Request request{ mRandom() % kNodes, mRandom() % kPrefixes, 0, mNow };
    request.mTarget = Choose(request);
    ++mInFlight[request.mNode][request.mTarget];
    mTargets[request.mTarget].mQueue.push_back(request);
    Start(mTargets[request.mTarget], mNow);
  }

  size_t Choose(const Request& aRequest)
  {
    const std::vector<uint32_t>& counts = mInFlight[aRequest.mNode];
    const uint64_t random = mRandom();
    if (mPolicy == Policy::Random) {
      return random % kTargets;
    }
    if (mPolicy == Policy::LeastInFlight) {
      const size_t from = random % kTargets; // a random start breaks ties
      size_t best = from;
      for (size_t i = 1; i < kTargets; ++i) {
        const size_t it = (from + i) % kTargets;
        best = counts[it] < counts[best] ? it : best;
      }
      return best;
    }
    std::vector<Candidate> candidates(kTargets);
    for (size_t i = 0; i < kTargets; ++i) {
      candidates[i].mId = "target-" + std::to_string(i);
      candidates[i].mSameZone = true;
      candidates[i].mInFlight = counts[i];
      candidates[i].mLimit = kNodeLimit;
      candidates[i].mLoadReport = mTargets[i].mReport;
    }
    const std::string prefix = "prefix-" + std::to_string(aRequest.mPrefix);
    return *ChooseCandidate(candidates, { prefix, random }, mNow);
  }

  void Start(Target& aTarget, TimePoint aNow)
  {
    while (aTarget.mRunning < kSlots && !aTarget.mQueue.empty()) {
      const Request request = aTarget.mQueue.front();
      aTarget.mQueue.pop_front();
      ++aTarget.mRunning;
      const bool hit = aTarget.mCache.Use(request.mPrefix);
      mHits += hit ? 1 : 0;
      mWaits.push_back(ToMillis(aNow - request.mArrivedAt));
      mCompletions.push(
        { aNow + (hit ? kCacheHitTime : kCacheMissTime), request });
    }
  }

  void CompleteUntil(TimePoint aUntil)
  {
    while (!mCompletions.empty() && mCompletions.top().mAt <= aUntil) {
      const Completion completion = mCompletions.top();
      mCompletions.pop();
      Target& target = mTargets[completion.mRequest.mTarget];
      --target.mRunning;
      --mInFlight[completion.mRequest.mNode][completion.mRequest.mTarget];
      mTotals.push_back(
        ToMillis(completion.mAt - completion.mRequest.mArrivedAt));
      Start(target, completion.mAt);
    }
  }

  void Report()
  {
    if (mNow < mReportAt) {
      return;
    }
    mReportAt = mNow + kReportInterval;
    for (Target& it : mTargets) {
      const auto queued = static_cast<uint32_t>(it.mQueue.size());
      it.mReport = { mNow, it.mRunning, queued };
    }
  }

  static double Percentile99(std::vector<int64_t>& aValues)
  {
    const auto at = static_cast<std::ptrdiff_t>(aValues.size() * 99 / 100);
    std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
    return static_cast<double>(aValues[static_cast<size_t>(at)]);
  }

  const Policy mPolicy;
  std::mt19937_64 mRandom;
  const double mPerSecond;
  std::vector<Target> mTargets;
  std::vector<std::vector<uint32_t>> mInFlight;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    mCompletions;
  std::vector<int64_t> mWaits;
  std::vector<int64_t> mTotals;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mReportAt;
  size_t mHits = 0;
};

} // namespace

int
main(int aCount, char** aWords)
{
  const uint64_t seed = aCount > 1 ? std::strtoull(aWords[1], nullptr, 10) : 1;
  const std::vector<std::pair<Policy, const char*>> policies = {
    { Policy::Random, "random" },
    { Policy::LeastInFlight, "least in-flight" },
    { Policy::BoundedPrefix, "prefix, bounded" },
  };
  std::printf("%8s  %-16s %6s %12s %13s\n",
              "req/s",
              "policy",
              "hits",
              "p99 wait ms",
              "p99 answer ms");
  for (const double perSecond : { 100.0, 200.0, 250.0, 300.0 }) {
    for (const auto& [policy, name] : policies) {
      const Results results = Simulation(policy, seed, perSecond).Run();
      std::printf("%8.0f  %-16s %5.1f%% %12.0f %13.0f\n",
                  perSecond,
                  name,
                  results.mHitShare * 100,
                  results.mWaitP99Millis,
                  results.mTotalP99Millis);
    }
  }
  return 0;
}
