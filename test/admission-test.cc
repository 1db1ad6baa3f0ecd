#include "route/accountlimits.h"
#include "route/adaptivelimit.h"
#include "route/admission.h"
#include "route/admissionqueue.h"
#include "route/demandtable.h"
#include "route/fairqueue.h"

#include "manualclock.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

QueuedRequest
RequestOf(uint64_t aId,
          const char* aAccount,
          Priority aPriority,
          uint32_t aShare)
{
  return { aId, aAccount, aShare, aPriority };
}

/// Removes all requests from the queue.
/// @return the accounts of the requests in order, concatenated
std::string
PopAll(FairQueue& aQueue)
{
  std::string order;
  while (const auto request = aQueue.Pop()) {
    order += request->mAccount;
  }
  return order;
}

double
SumOfLocalLimits(double aLimit, const std::vector<double>& aDemands)
{
  double total = 0;
  for (const double it : aDemands) {
    total += it;
  }
  double sum = 0;
  for (const double it : aDemands) {
    sum += LocalLimit(aLimit, { it, total, aDemands.size() });
  }
  return sum;
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, TokenBucketReturnsTheTimeUntilTheNextToken)
{
  TokenBucket bucket;
  CHECK(!TakeToken(bucket, 10, 2, kNow));
  CHECK(!TakeToken(bucket, 10, 2, kNow));
  const auto wait = TakeToken(bucket, 10, 2, kNow);
  CHECK(wait.has_value());
  CHECK_EQUAL(100, ToMillis(*wait));
  CHECK(TakeToken(bucket, 10, 2, kNow + milliseconds(99)).has_value());
  CHECK(!TakeToken(bucket, 10, 2, kNow + milliseconds(100)));
}

TEST(Admission, LocalLimitsAddUpToTheLimit)
{
  const std::vector<std::vector<double>> table = {
    { 0, 0, 0 }, { 5, 0, 0 }, { 100, 1, 1 }, { 30, 30, 30 }, { 7 }
  };
  for (const auto& it : table) {
    DOUBLES_EQUAL(20, SumOfLocalLimits(20, it), 0.001);
  }
  DOUBLES_EQUAL(18, LocalLimit(20, { 90, 100, 3 }), 0.001);
  CHECK_EQUAL(1u, LocalConcurrencyLimit(40, { 0, 0, 340 }));
  CHECK_EQUAL(13u, LocalConcurrencyLimit(40, { 20, 60, 3 }));
}

TEST(Admission, RateLimitOverThreeMembersHoldsWithinTenPercent)
{
  const AccountRule rule{ "a", "", 30, 0, 1, {} };
  std::array<AccountLimits, 3> members;
  const std::array<int, 3> perSecond = { 80, 10, 2 };
  int admitted = 0;
  for (int second = 0; second < 20; ++second) {
    for (int step = 0; step < 100; ++step) {
      for (size_t i = 0; i < members.size(); ++i) {
        const TimePoint now = kNow + seconds(second) + milliseconds(10 * step);
        const bool sends =
          step % 100 * perSecond[i] / 100 != (step + 1) * perSecond[i] / 100;
        if (sends && !members[i].Acquire(rule, now)) {
          members[i].Release("a");
          admitted += second >= 10 ? 1 : 0;
        }
      }
    }
    std::vector<DemandMap> demand;
    for (AccountLimits& it : members) {
      demand.push_back(it.EndPeriod(kNow + seconds(second + 1)));
    }
    for (size_t i = 0; i < members.size(); ++i) {
      std::vector<DemandMap> others = demand;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      members[i].SetOtherDemand(others, 3);
    }
  }
  CHECK(admitted >= 270);
  CHECK(admitted <= 330);
}

TEST(Admission, ConcurrencyLimitDeniesUntilARequestIsReleased)
{
  const AccountRule rule{ "a", "", 0, 2, 1, {} };
  AccountLimits limits;
  CHECK(!limits.Acquire(rule, kNow));
  CHECK(!limits.Acquire(rule, kNow));
  const auto denial = limits.Acquire(rule, kNow);
  CHECK(DenyReason::AccountConcurrency == denial->mReason);
  CHECK(denial->mRetryAfter > Duration::zero());
  limits.Release("a");
  CHECK(!limits.Acquire(rule, kNow));
}

TEST(Admission, DemandAnnouncementsAreBoundedAndRoundTripThroughJson)
{
  DemandMap demand;
  for (int i = 0; i < 100; ++i) {
    demand["account-" + std::to_string(i)] = { double(i), 1 };
  }
  DemandTable table;
  table.Announce(demand);
  Json::Value status(Json::objectValue);
  table.WriteTo(status);
  CHECK_EQUAL(kMaxAnnouncedAccounts, status["demand"].size());
  DemandTable other;
  other.Update("m", status);
  DOUBLES_EQUAL(
    99, other.PruneAndList({ "m" })[0]["account-99"].mPerSecond, 0.01);
  CHECK(other.PruneAndList({}).empty());
}

TEST(Admission, HigherPriorityGoesFirstThenAccountsByShare)
{
  FairQueue queue;
  for (uint64_t i = 0; i < 6; ++i) {
    queue.Push(RequestOf(i, "a", Priority::Normal, 1));
  }
  queue.Push(RequestOf(10, "b", Priority::Normal, 1));
  queue.Push(RequestOf(11, "c", Priority::Bulk, 1));
  queue.Push(RequestOf(12, "d", Priority::Urgent, 1));
  STRCMP_EQUAL("dabaaaaac", PopAll(queue).c_str());
  FairQueue weighted;
  for (uint64_t i = 0; i < 6; ++i) {
    weighted.Push(RequestOf(i, "a", Priority::Normal, 2));
    weighted.Push(RequestOf(i + 10, "b", Priority::Normal, 1));
  }
  STRCMP_EQUAL("abaabaabab", PopAll(weighted).substr(0, 10).c_str());
}

TEST(Admission, ShedsFromTheLargestAccountOfTheLowestPriority)
{
  FairQueue queue;
  queue.Push(RequestOf(1, "a", Priority::Urgent, 1));
  queue.Push(RequestOf(2, "a", Priority::Bulk, 1));
  queue.Push(RequestOf(3, "a", Priority::Bulk, 1));
  queue.Push(RequestOf(4, "b", Priority::Bulk, 1));
  CHECK_EQUAL(3u, queue.Shed()->mId);
  CHECK(queue.Remove(2));
  CHECK(!queue.Remove(2));
  CHECK_EQUAL(4u, queue.Shed()->mId);
  CHECK_EQUAL(1u, queue.Shed()->mId);
  CHECK(!queue.Shed());
}

TEST(Admission, SmallAccountDoesNotWaitBehindTheQueueOfALargeOne)
{
  FairQueue queue;
  for (uint64_t i = 0; i < 50; ++i) {
    queue.Push(RequestOf(i, "large", Priority::Normal, 1));
  }
  CHECK_EQUAL(50u, queue.CountAhead(Priority::Normal, "large", 1));
  CHECK_EQUAL(2u, queue.CountAhead(Priority::Normal, "small", 1));
  CHECK_EQUAL(0u, queue.CountAhead(Priority::Urgent, "small", 1));
}

TEST(Admission, DecidesAdmission)
{
  struct Row
  {
    uint32_t mRunning;
    uint32_t mCapacity;
    size_t mAhead;
    size_t mWaiting;
    int mDeadlineMillis;
    AdmissionAction mExpected;
  };
  const ServiceTime service{ milliseconds(1000), milliseconds(400) };
  const std::vector<Row> table = {
    { 0, 4, 0, 0, 5000, AdmissionAction::Start },
    { 4, 4, 0, 0, 5000, AdmissionAction::Wait },
    { 0, 0, 0, 0, 5000, AdmissionAction::Start },
    { 4, 4, 10, 10, 5000, AdmissionAction::WaitAndShed },
    { 0, 4, 0, 0, 400, AdmissionAction::Deny },  // can't complete in time
    { 4, 4, 9, 9, 2800, AdmissionAction::Deny }, // 2.5 s wait, 0.4 s run
    { 4, 4, 9, 9, 3000, AdmissionAction::Wait },
  };
  for (const Row& it : table) {
    const PoolState state{ it.mRunning, it.mCapacity, it.mAhead,
                           it.mWaiting, 10,           service };
    const AdmissionDecision decision =
      DecideAdmission(state, kNow + milliseconds(it.mDeadlineMillis), kNow);
    CHECK(it.mExpected == decision.mAction);
  }
}

TEST(Admission, WaitInAStandingQueueIsLimitedToTheServiceTime)
{
  struct Row
  {
    int mStandingMillis; ///< at arrival
    int mMeanMillis;
    int mWaitMillis;
  };
  const std::vector<Row> table = {
    { 0, 50, 300 },      // possibly a burst: waits for a standing queue
    { 250, 50, 100 },    // standing queue, minimum wait
    { 5000, 200, 200 },  // standing queue, mean service time
    { 5000, 3000, 500 }, // standing queue, a quarter of 2 s
  };
  for (const Row& it : table) {
    const TimePoint until =
      QueueDeadline({ milliseconds(it.mMeanMillis), milliseconds(20) },
                    { kNow, kNow - milliseconds(it.mStandingMillis) },
                    kNow + seconds(2));
    CHECK_EQUAL(it.mWaitMillis, ToMillis(until - kNow));
  }
  const TimePoint unsaturated =
    QueueDeadline({ milliseconds(50), milliseconds(20) },
                  { kNow, kNow - seconds(5), false },
                  kNow + seconds(2));
  CHECK_EQUAL(1980, ToMillis(unsaturated - kNow));
  const TimePoint limitedByDeadline =
    QueueDeadline({ milliseconds(50), milliseconds(40) },
                  { kNow, kNow },
                  kNow + milliseconds(100));
  CHECK_EQUAL(60, ToMillis(limitedByDeadline - kNow));
}

TEST(Admission, FullQueueShedsABulkRequestForAnUrgentOne)
{
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + seconds(30);
  AdmissionQueue queue(1, clock);
  queue.SetCapacity(1, true);
  CHECK(!queue.Acquire(RequestOf(0, "a", Priority::Bulk, 1), deadline));
  std::optional<Denial> bulk;
  std::jthread bulkThread([&] {
    bulk = queue.Acquire(RequestOf(0, "a", Priority::Bulk, 1), deadline);
  });
  while (!queue.HasWaiting()) {
    std::this_thread::yield();
  }
  std::optional<Denial> urgent;
  std::jthread urgentThread([&] {
    urgent = queue.Acquire(RequestOf(0, "b", Priority::Urgent, 1), deadline);
  });
  bulkThread.join();
  CHECK(DenyReason::Shed == bulk->mReason);
  CHECK(bulk->mRetryAfter > Duration::zero());
  queue.Release(milliseconds(1));
  urgentThread.join();
  CHECK(!urgent);
}

TEST(Admission, LimitFollowsReportsRequestedAfterItsLastChange)
{
  TargetLimit limit;
  const TimePoint later = kNow + seconds(1);
  const LimitSignal idle{ LoadReport{ kNow, 4, 0 }, 2, false };
  DOUBLES_EQUAL(8, AdjustLimit(limit, idle, later).mLimit, 0.01);
  const LimitSignal used{ LoadReport{ kNow, 8, 0 }, 8, true };
  limit = AdjustLimit(limit, used, later);
  DOUBLES_EQUAL(12, limit.mLimit, 0.01);
  limit = AdjustLimit(limit, used, later + seconds(1)); // outdated report
  DOUBLES_EQUAL(12, limit.mLimit, 0.01);
  const LimitSignal queue{ LoadReport{ later + seconds(1), 10, 4 }, 12, true };
  limit = AdjustLimit(limit, queue, later + seconds(2));
  DOUBLES_EQUAL(10.2, limit.mLimit, 0.01);
  const LimitSignal free{ LoadReport{ later + seconds(3), 10, 0 }, 10, true };
  limit = AdjustLimit(limit, free, later + seconds(4));
  DOUBLES_EQUAL(11.22, limit.mLimit, 0.01);
}

TEST(Admission, LimitWithoutReportsFollowsResponseTimes)
{
  TargetLimit limit = AddResponseTime({}, milliseconds(10));
  const LimitSignal used{ std::nullopt, 8, true };
  limit = AdjustLimit(limit, used, kNow);
  DOUBLES_EQUAL(12, limit.mLimit, 0.01);
  for (int i = 0; i < 20; ++i) {
    limit = AddResponseTime(limit, milliseconds(100));
  }
  limit = AdjustLimit(limit, used, kNow + seconds(1));
  DOUBLES_EQUAL(10.2, limit.mLimit, 0.01);
}
