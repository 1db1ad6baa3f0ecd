#include "core/ids.h"
#include "core/json.h"
#include "route/choose.h"
#include "route/health.h"
#include "route/prefix.h"
#include "route/retry.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

std::vector<Candidate>
Targets(size_t aCount)
{
  std::vector<Candidate> targets(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    targets[i].mId = "t" + std::to_string(i);
    targets[i].mSameZone = true;
    targets[i].mLimit = 8;
  }
  return targets;
}

size_t
Choose(const std::vector<Candidate>& aTargets, std::string_view aPrefix)
{
  return *ChooseCandidate(aTargets, { aPrefix, 7 }, kNow);
}

TargetHealth
HealthWithTimePerUnit(int aMillis)
{
  TargetHealth health;
  for (int i = 0; i < 10; ++i) {
    health = AddSuccess(health, milliseconds(aMillis), kNow);
  }
  return health;
}

} // namespace

TEST_GROUP(Choose){};

TEST(Choose, PrefixKeepsItsTargetWhenAnotherTargetIsRemoved)
{
  std::vector<Candidate> targets = Targets(5);
  const size_t preferred = Choose(targets, "orchard");
  CHECK_EQUAL(preferred, Choose(targets, "orchard"));
  std::vector<Candidate> fewer = targets;
  fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>((preferred + 1) % 5));
  STRCMP_EQUAL(targets[preferred].mId.c_str(),
               fewer[Choose(fewer, "orchard")].mId.c_str());
}

TEST(Choose, PrefixMovesToAnotherTargetUnderLoad)
{
  struct Row
  {
    uint32_t mInFlight;
    std::optional<LoadReport> mReport;
    bool mStays;
  };
  const std::vector<Row> table = {
    { 5, std::nullopt, true },
    { 6, std::nullopt, false },
    { 8, std::nullopt, false },
    { 0, LoadReport{ kNow, 20, 0 }, true }, // no queue at the target
    { 0, LoadReport{ kNow, 20, 4 }, false },
    { 0, LoadReport{ kNow - seconds(10), 20, 4 }, true }, // too old to count
  };
  for (const Row& it : table) {
    std::vector<Candidate> targets = Targets(5);
    const size_t preferred = Choose(targets, "orchard");
    targets[preferred].mInFlight = it.mInFlight;
    targets[preferred].mLoadReport = it.mReport;
    CHECK_EQUAL(it.mStays, preferred == Choose(targets, "orchard"));
  }
}

TEST(Choose, OwnZoneIsPreferredUntilItIsFull)
{
  std::vector<Candidate> targets = Targets(3);
  targets[0].mSameZone = false;
  targets[1].mSameZone = false;
  CHECK_EQUAL(2u, Choose(targets, "orchard"));
  targets[2].mInFlight = 8;
  CHECK(Choose(targets, "orchard") != 2);
}

TEST(Choose, TriedAndEjectedTargetsComeLast)
{
  std::vector<Candidate> targets = Targets(3);
  targets[0].mTried = true;
  targets[1].mWeight = 0;
  CHECK_EQUAL(2u, Choose(targets, ""));
  targets[2].mTried = true;
  CHECK_EQUAL(1u, Choose(targets, ""));
  CHECK(!ChooseCandidate({}, {}, kNow));
}

TEST(Choose, ThePrefixIsTheStartOfThePrompt)
{
  const auto prefix = [](const char* aText) {
    return PromptPrefix(ParseJsonObject(aText).value());
  };
  STRCMP_EQUAL("bark", prefix(R"({"prompt":"bark"})").c_str());
  STRCMP_EQUAL(
    "user\nbark\n",
    prefix(R"({"messages":[{"role":"user","content":"bark"},3]})").c_str());
  STRCMP_EQUAL("", prefix("{}").c_str());
  const std::string text(2000, 'x');
  CHECK_EQUAL(512u, prefix(("{\"prompt\":\"" + text + "\"}").c_str()).size());
}

TEST(Choose, ConsecutiveFailuresEjectForLongerEachTime)
{
  TargetHealth health;
  for (int i = 0; i < 4; ++i) {
    health = AddFailure(health, kNow);
  }
  DOUBLES_EQUAL(1, WeightOf(health, kNow), 0.001);
  health = AddFailure(health, kNow);
  DOUBLES_EQUAL(0, WeightOf(health, kNow + milliseconds(1999)), 0.001);
  DOUBLES_EQUAL(0.1, WeightOf(health, kNow + seconds(2)), 0.001);
  DOUBLES_EQUAL(0.5, WeightOf(health, kNow + seconds(7)), 0.001);
  health = AddFailure(health, kNow + seconds(7)); // during recovery
  DOUBLES_EQUAL(0, WeightOf(health, kNow + milliseconds(10999)), 0.001);
  DOUBLES_EQUAL(0.1, WeightOf(health, kNow + seconds(11)), 0.001);
}

TEST(Choose, EjectsStragglersButAtMostAThird)
{
  const std::vector<TargetHealth> oneSlow = { HealthWithTimePerUnit(5),
                                              HealthWithTimePerUnit(6),
                                              HealthWithTimePerUnit(30) };
  CHECK_EQUAL(1u, FindStragglers(oneSlow, kNow).size());
  CHECK_EQUAL(2u, FindStragglers(oneSlow, kNow)[0]);
  std::vector<TargetHealth> oneEjected = oneSlow;
  oneEjected[0] = Eject(oneEjected[0], kNow);
  CHECK(FindStragglers(oneEjected, kNow).empty());
  const std::vector<TargetHealth> threeSlow = {
    HealthWithTimePerUnit(5),  HealthWithTimePerUnit(5),
    HealthWithTimePerUnit(5),  HealthWithTimePerUnit(30),
    HealthWithTimePerUnit(40), HealthWithTimePerUnit(50)
  };
  CHECK_EQUAL(2u, FindStragglers(threeSlow, kNow).size());
  CHECK_EQUAL(5u, FindStragglers(threeSlow, kNow)[0]);
  const std::vector<TargetHealth> even = { HealthWithTimePerUnit(5),
                                           HealthWithTimePerUnit(6),
                                           HealthWithTimePerUnit(9) };
  CHECK(FindStragglers(even, kNow).empty());
  CHECK(FindStragglers(std::vector<TargetHealth>(3), kNow).empty());
}

TEST(Choose, TimePerUnitNeedsALongEnoughResponse)
{
  CHECK(milliseconds(5) == *TimePerUnit(milliseconds(50), 10, 0));
  CHECK(milliseconds(5) == *TimePerUnit(milliseconds(50), 0, 80));
  CHECK(!TimePerUnit(milliseconds(50), 2, 0));
}

TEST(Choose, RouteMayRetryATenthOfItsRequests)
{
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget = AddRequest(budget);
    retries += TakeRetry(budget) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
}

TEST(Choose, BackoffJittersBelowADoublingBound)
{
  CHECK(Duration::zero() == RetryDelay(1, 0));
  CHECK_EQUAL(5, ToMillis(RetryDelay(1, 0.5)));
  CHECK_EQUAL(20, ToMillis(RetryDelay(3, 0.5)));
  CHECK_EQUAL(320, ToMillis(RetryDelay(40, 0.5)));
}
