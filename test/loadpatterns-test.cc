#include "fleet/retrybudget.h"
#include "fleet/targetchoice.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

FleetTarget
MakeTarget(const char* aId, const char* aZone = "a")
{
  return { aId, { "10.0.0.1", 80 }, aZone, "m", { "g", 1 }, 26 };
}

} // namespace

TEST_GROUP(LoadPatterns)
{
  TargetLoads mLoads;
  std::vector<FleetTarget> mTargets{ MakeTarget("h1"), MakeTarget("h2") };
  std::set<std::string> mTried;

  const char* Choose(TimePoint aNow)
  {
    const FleetTarget* it =
      ChooseTarget(mTargets, mLoads, { "a", "m", aNow, 0 }, mTried);
    return it == nullptr ? "" : it->mVmId.c_str();
  }
};

// Slow target: its first events take longer, so it gets fewer requests.
TEST(LoadPatterns, ASlowHeadGetsFewerRequests)
{
  for (int n = 0; n < 10; ++n) {
    mLoads.Begin("h1", kStart);
    mLoads.RecordFirstEvent("h1", milliseconds(400), kStart);
    mLoads.End("h1", true);
  }
  STRCMP_EQUAL("h2", Choose(kStart));
  // Old measurements are ignored.
  STRCMP_EQUAL("h1", Choose(kStart + seconds(5)));
}

// Failed domain: a head whose streams have become silent is avoided before it
// is known to be lost.
TEST(LoadPatterns, ASilentHeadIsChosenLast)
{
  mLoads.Begin("h1", kStart);
  mLoads.RecordFirstEvent("h1", milliseconds(50), kStart);
  for (int n = 0; n < 8; ++n) {
    mLoads.Begin("h2", kStart);
  }
  mLoads.RecordFirstEvent("h2", milliseconds(50), kStart + milliseconds(250));
  STRCMP_EQUAL("h2", Choose(kStart + milliseconds(250)));
}

TEST(LoadPatterns, AHeadIsStalledWhenNoStreamMakesProgress)
{
  mLoads.Begin("h1", kStart);
  CHECK(!IsStalled(mLoads.Get("h1"), kStart + milliseconds(700), {}));
  CHECK(IsStalled(mLoads.Get("h1"), kStart + milliseconds(900), {}));
  mLoads.RecordFirstEvent("h1", milliseconds(700), kStart + milliseconds(700));
  CHECK(!IsStalled(mLoads.Get("h1"), kStart + milliseconds(1000), {}));
  CHECK(IsStalled(mLoads.Get("h1"), kStart + milliseconds(1300), {}));
}

// Partly failing target: consecutive failures exclude it for increasing times.
TEST(LoadPatterns, AFailingTargetIsAvoidedForLonger)
{
  mLoads.RecordFailure("h1", kStart);
  const TimePoint once = mLoads.Get("h1").mAvoidUntil;
  mLoads.RecordFailure("h1", kStart);
  CHECK(mLoads.Get("h1").mAvoidUntil > once);
  STRCMP_EQUAL("h2", Choose(kStart));
  mLoads.RecordSuccess("h1");
  CHECK_EQUAL(0U, mLoads.Get("h1").mFailuresInRow);
}

TEST(LoadPatterns, TheOwnZoneIsPreferredAmongEqualTargets)
{
  mTargets = { MakeTarget("far", "b"), MakeTarget("near", "a") };
  STRCMP_EQUAL("near", Choose(kStart));
  mLoads.Begin("near", kStart);
  mLoads.Begin("near", kStart);
  STRCMP_EQUAL("far", Choose(kStart));
}

TEST(LoadPatterns, NoTargetIsTriedTwice)
{
  mTried = { "h1" };
  STRCMP_EQUAL("h2", Choose(kStart));
  mTried = { "h1", "h2" };
  STRCMP_EQUAL("", Choose(kStart));
}

// Impatient callers: retries stay within this node's part of the budget.
TEST(LoadPatterns, RetriesStayWithinTheirPartOfTheBudget)
{
  ServiceRetryBudget budget({ 0.2, seconds(10), 160 });
  for (int n = 0; n < 100; ++n) {
    budget.AddRequest("drafting", kStart);
  }
  int taken = 0;
  while (budget.TryTakeRetry("drafting", kStart)) {
    ++taken;
  }
  CHECK(taken >= 10);
  CHECK(taken <= 100 * 0.2 + 10);
  CHECK(!budget.TryTakeRetry("drafting", kStart + seconds(9)));
  CHECK(budget.TryTakeRetry("drafting", kStart + seconds(11)));
}

// A small service beside a large one: each service has its own retry budget.
TEST(LoadPatterns, OneServiceCannotSpendTheBudgetOfAnother)
{
  ServiceRetryBudget budget({ 0.2, seconds(10), 16 });
  while (budget.TryTakeRetry("large", kStart)) {
  }
  CHECK(budget.TryTakeRetry("small", kStart));
}

TEST(LoadPatterns, TheSharedSlackIsDividedAmongNodes)
{
  ServiceRetryBudget budget({ 0, seconds(10), 160 });
  budget.SetNodeCount(80);
  CHECK(budget.TryTakeRetry("drafting", kStart));
  CHECK(budget.TryTakeRetry("drafting", kStart));
  CHECK(!budget.TryTakeRetry("drafting", kStart));
}

// Burst over many nodes: each node sends a head only a request per second, so
// only the demands of the other nodes show where the queue is.
TEST(LoadPatterns, DemandsOfOtherNodesAffectTheChoice)
{
  mTargets[0].mTimes = mTargets[1].mTimes = { 42, 0.3, 0.02 };
  mLoads.Aggregator().StoreFromParent({ { "h1", { 3, 6000, 10, kStart } } },
                                      kStart);
  STRCMP_EQUAL("h2", Choose(kStart));
  mLoads.Aggregator().StoreFromParent({ { "h2", { 9, 18000, 2, kStart } } },
                                      kStart);
  STRCMP_EQUAL("h1", Choose(kStart));
}

// A group opens while all others are loaded: nodes that choose at the same
// moment must not all send to it.
TEST(LoadPatterns, ANewHeadDoesNotAttractAllRequests)
{
  for (int n = 0; n < 8; ++n) {
    mLoads.Begin("h1", kStart);
    mLoads.RecordFirstEvent("h1", milliseconds(80), kStart);
  }
  mTargets[0].mTimes = mTargets[1].mTimes = { 42, 0.3, 0.02 };
  int toLoadedHead = 0;
  for (int n = 0; n < 100; ++n) {
    const ChoiceInput input{ "a", "m", kStart, n / 100.0 };
    toLoadedHead +=
      ChooseTarget(mTargets, mLoads, input, mTried)->mVmId == "h1" ? 1 : 0;
  }
  CHECK(toLoadedHead >= 10);
  CHECK(toLoadedHead <= 40);
}

// Overload: a full head rejects requests faster than others respond to them,
// which must not make it the preferred target.
TEST(LoadPatterns, AFullHeadIsAvoidedForLonger)
{
  TimePoint now = kStart;
  for (int n = 0; n < 4; ++n) {
    mLoads.RecordRejection("h1", now);
    now = mLoads.Get("h1").mAvoidUntil;
  }
  CHECK(now - kStart >= milliseconds(800));
  mLoads.RecordSuccess("h1");
  mLoads.RecordRejection("h1", now);
  CHECK(mLoads.Get("h1").mAvoidUntil - now <= milliseconds(60));
}

// Failed domain: when the streams of other nodes make no progress either, a
// silence of a few passes is enough.
TEST(LoadPatterns, AStallIsDetectedSoonerWhenAllNodesSeeSilence)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.RecordFirstEvent("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(200);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
  mLoads.Aggregator().StoreFromParent({ { "h1", { 0, 0, 5, kStart } } },
                                      kStart);
  CHECK(IsStalled(target, mLoads.Get("h1"), later));
}

// Lossy links: one stream may wait for a lost packet while the head keeps
// working.
TEST(LoadPatterns, AHeadThatMakesProgressForOthersIsNotStalled)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.RecordFirstEvent("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(900);
  mLoads.Aggregator().StoreFromParent(
    { { "h1", { 0, 0, 5, later - milliseconds(40) } } }, later);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
}

// Long prompts: waiting prompts lengthen a pass, so a long pause is expected.
TEST(LoadPatterns, ALongPassIsNotTreatedAsAStall)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.RecordFirstEvent("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(200);
  mLoads.Aggregator().StoreFromParent({ { "h1", { 3, 6000, 5, kStart } } },
                                      kStart);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
}
