#include "fleet/choice.h"
#include "fleet/repeats.h"
#include "fleet/shedding.h"

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

// Slow worker: its first events take longer, so it gets less.
TEST(LoadPatterns, ASlowHeadGetsLess)
{
  for (int n = 0; n < 10; ++n) {
    mLoads.Begin("h1", kStart);
    mLoads.NoteFirst("h1", milliseconds(400), kStart);
    mLoads.End("h1", true);
  }
  STRCMP_EQUAL("h2", Choose(kStart));
  // What was seen long ago counts no more.
  STRCMP_EQUAL("h1", Choose(kStart + seconds(5)));
}

// Domain dark: a head that is silent in the middle of its streams is left
// alone before it is known to be lost.
TEST(LoadPatterns, AQuietHeadIsChosenLast)
{
  mLoads.Begin("h1", kStart);
  mLoads.NoteFirst("h1", milliseconds(50), kStart);
  for (int n = 0; n < 8; ++n) {
    mLoads.Begin("h2", kStart);
  }
  mLoads.NoteFirst("h2", milliseconds(50), kStart + milliseconds(250));
  STRCMP_EQUAL("h2", Choose(kStart + milliseconds(250)));
}

TEST(LoadPatterns, AHeadStandsStillWhenNoStreamMoves)
{
  mLoads.Begin("h1", kStart);
  CHECK(!IsStalled(mLoads.Get("h1"), kStart + milliseconds(700), {}));
  CHECK(IsStalled(mLoads.Get("h1"), kStart + milliseconds(900), {}));
  mLoads.NoteFirst("h1", milliseconds(700), kStart + milliseconds(700));
  CHECK(!IsStalled(mLoads.Get("h1"), kStart + milliseconds(1000), {}));
  CHECK(IsStalled(mLoads.Get("h1"), kStart + milliseconds(1300), {}));
}

// Grey worker: failures in a row keep it out for longer and longer.
TEST(LoadPatterns, AFailingTargetIsAvoidedForLonger)
{
  mLoads.NoteFailure("h1", kStart);
  const TimePoint once = mLoads.Get("h1").mAvoidUntil;
  mLoads.NoteFailure("h1", kStart);
  CHECK(mLoads.Get("h1").mAvoidUntil > once);
  STRCMP_EQUAL("h2", Choose(kStart));
  mLoads.NoteSuccess("h1");
  CHECK_EQUAL(0U, mLoads.Get("h1").mFailuresInRow);
}

TEST(LoadPatterns, TheOwnZoneGoesFirstAmongEquals)
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

// Burst: as the wait grows past the target, more and more are refused, but
// never all, as then nothing would show that the queue is gone.
TEST(LoadPatterns, ABurstIsShedByTheExpectedWait)
{
  const milliseconds target(200);
  DOUBLES_EQUAL(0, ShedChance(0, target), 0);
  DOUBLES_EQUAL(0, ShedChance(150, target), 0);
  const double some = ShedChance(250, target);
  const double more = ShedChance(500, target);
  CHECK(some > 0 && more > some);
  CHECK(ShedChance(100000, target) < 1);
}

TEST(LoadPatterns, RefusedCallersComeBackWhenTheQueueIsGone)
{
  CHECK(ComeBackAfter(600, seconds(8)) == milliseconds(1200));
  CHECK(ComeBackAfter(10, seconds(8)) >= milliseconds(400));
  // No later than callers heed.
  CHECK(ComeBackAfter(5000, milliseconds(900)) == milliseconds(300));
}

// Impatient callers: repeats stay within the common budget.
TEST(LoadPatterns, RepeatsStayWithinTheirPartOfTheBudget)
{
  RepeatBudget budget({ 0.2, seconds(10), 160 });
  for (int n = 0; n < 100; ++n) {
    budget.AddRequest("drafting", kStart);
  }
  int taken = 0;
  while (budget.TakeRepeat("drafting", kStart)) {
    ++taken;
  }
  CHECK(taken >= 10);
  CHECK(taken <= 100 * 0.2 + 10);
  CHECK(!budget.TakeRepeat("drafting", kStart + seconds(9)));
  CHECK(budget.TakeRepeat("drafting", kStart + seconds(11)));
}

// Small account beside a large one: a service's budget is its own.
TEST(LoadPatterns, OneServiceCannotSpendTheBudgetOfAnother)
{
  RepeatBudget budget({ 0.2, seconds(10), 16 });
  while (budget.TakeRepeat("large", kStart)) {
  }
  CHECK(budget.TakeRepeat("small", kStart));
}

TEST(LoadPatterns, MoreNodesGetLessOfTheCommonSlack)
{
  RepeatBudget budget({ 0, seconds(10), 160 });
  budget.DealSlack(80);
  CHECK(budget.TakeRepeat("drafting", kStart));
  CHECK(budget.TakeRepeat("drafting", kStart));
  CHECK(!budget.TakeRepeat("drafting", kStart));
}

// Burst over many nodes: each node sends a head a request a second, so only
// the demands of the others show where the queue is.
TEST(LoadPatterns, QueuesOfOtherNodesAreSeen)
{
  mTargets[0].mTimes = mTargets[1].mTimes = { 42, 0.3, 0.02 };
  mLoads.Board().TakeAbove({ { "h1", { 3, 6000, 10, kStart } } }, kStart);
  STRCMP_EQUAL("h2", Choose(kStart));
  mLoads.Board().TakeAbove({ { "h2", { 9, 18000, 2, kStart } } }, kStart);
  STRCMP_EQUAL("h1", Choose(kStart));
}

// A group that opens while all others are loaded: nodes that choose at once
// must not all send to it.
TEST(LoadPatterns, ANewHeadDoesNotDrawEverything)
{
  for (int n = 0; n < 8; ++n) {
    mLoads.Begin("h1", kStart);
    mLoads.NoteFirst("h1", milliseconds(80), kStart);
  }
  mTargets[0].mTimes = mTargets[1].mTimes = { 42, 0.3, 0.02 };
  int old = 0;
  for (int n = 0; n < 100; ++n) {
    const ChoiceInput input{ "a", "m", kStart, n / 100.0 };
    old += ChooseTarget(mTargets, mLoads, input, mTried)->mVmId == "h1" ? 1 : 0;
  }
  CHECK(old >= 10);
  CHECK(old <= 40);
}

// Overload: a full head answers sooner than any other, which must not make it
// the first choice.
TEST(LoadPatterns, AFullHeadIsLeftAloneForLonger)
{
  TimePoint now = kStart;
  for (int n = 0; n < 4; ++n) {
    mLoads.NoteFull("h1", now);
    now = mLoads.Get("h1").mAvoidUntil;
  }
  CHECK(now - kStart >= milliseconds(800));
  mLoads.NoteSuccess("h1");
  mLoads.NoteFull("h1", now);
  CHECK(mLoads.Get("h1").mAvoidUntil - now <= milliseconds(60));
}

// Domain dark: once other nodes' streams stand still as well, the silence of a
// few passes is enough.
TEST(LoadPatterns, SilenceForAllIsSeenSooner)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.NoteFirst("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(200);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
  mLoads.Board().TakeAbove({ { "h1", { 0, 0, 5, kStart } } }, kStart);
  CHECK(IsStalled(target, mLoads.Get("h1"), later));
}

// Lossy links: one stream may wait for a packet while the head works on.
TEST(LoadPatterns, AHeadThatMovesForOthersIsNotLeft)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.NoteFirst("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(900);
  mLoads.Board().TakeAbove({ { "h1", { 0, 0, 5, later - milliseconds(40) } } },
                           later);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
}

// Hot prompt: long prompts that wait explain a long pass.
TEST(LoadPatterns, ALongPassIsNotTakenForSilence)
{
  FleetTarget target = MakeTarget("h1");
  target.mTimes = { 42, 0.3, 0.02 };
  mLoads.Begin("h1", kStart);
  mLoads.NoteFirst("h1", milliseconds(50), kStart);
  const TimePoint later = kStart + milliseconds(200);
  mLoads.Board().TakeAbove({ { "h1", { 3, 6000, 5, kStart } } }, kStart);
  CHECK(!IsStalled(target, mLoads.Get("h1"), later));
}
