#include "fleet/demandaggregator.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

TargetDemand
Streams(uint32_t aNumber)
{
  return { 0, 0, aNumber, kNow };
}

} // namespace

TEST_GROUP(DemandAggregator)
{
  DemandAggregator mAggregator;

  /// @return the time of a thousand answers to one of the children, each of
  ///         which reports all targets
  static Duration TimeAnswers(int aChildren)
  {
    DemandAggregator aggregator;
    for (int n = 0; n < aChildren; ++n) {
      Demands demands;
      for (int i = 0; i < 70; ++i) {
        demands["i-" + std::to_string(i)] = Streams(1);
      }
      aggregator.StoreFromChild("n" + std::to_string(n), demands, kNow);
    }
    const SystemClock clock;
    const TimePoint startedAt = clock.Now();
    for (int n = 0; n < 1000; ++n) {
      (void)aggregator.SumForChild("n1", {});
    }
    return clock.Now() - startedAt;
  }
};

TEST(DemandAggregator, ReportsToAChildAllButItsOwnDemands)
{
  mAggregator.StoreFromChild("n1", { { "h", Streams(1) } }, kNow);
  mAggregator.StoreFromChild("n2", { { "h", Streams(2) } }, kNow);
  mAggregator.StoreFromParent({ { "h", Streams(4) } }, kNow);
  const Demands down = mAggregator.SumForChild("n1", { { "h", Streams(8) } });
  CHECK_EQUAL(14U, down.at("h").mStreaming);
  CHECK_EQUAL(7U, mAggregator.DemandOfOthers("h").mStreaming);
}

// Nodes that change their places in the tree may form a cycle for a moment.
// Demands that circulated in it grew without bounds.
TEST(DemandAggregator, NeverReportsTheParentsDemandsToAParent)
{
  mAggregator.StoreFromParent({ { "h", Streams(4) } }, kNow);
  mAggregator.StoreFromChild("n1", { { "h", Streams(1) } }, kNow);
  CHECK_EQUAL(1U, mAggregator.SumForParent({}).at("h").mStreaming);
}

TEST(DemandAggregator, ExpiresDemandsThatAreNotReportedAgain)
{
  mAggregator.StoreFromChild("n1", { { "h", Streams(1) } }, kNow);
  mAggregator.StoreFromParent({ { "h", Streams(4) } }, kNow);
  mAggregator.DropExpired(kNow + milliseconds(100));
  CHECK_EQUAL(5U, mAggregator.DemandOfOthers("h").mStreaming);
  mAggregator.DropExpired(kNow + milliseconds(500));
  CHECK_EQUAL(0U, mAggregator.DemandOfOthers("h").mStreaming);
}

// Many nodes: guards against sums that drift from what the nodes report, as
// they are changed by each report instead of being computed anew.
TEST(DemandAggregator, SumsStayExactOverManyReports)
{
  std::mt19937 random(3);
  const auto below = [&](uint32_t aEnd) {
    return static_cast<uint32_t>(random() % aEnd);
  };
  std::map<std::string, Demands> last;
  TimePoint now = kNow;
  for (int n = 0; n < 3000; ++n) {
    now += milliseconds(1);
    const std::string node = "n" + std::to_string(below(8));
    const Demands demands{ { "h" + std::to_string(below(5)),
                             { below(4), below(9000), below(6), now } } };
    mAggregator.StoreFromChild(node, demands, now);
    last[node].insert_or_assign(demands.begin()->first,
                                demands.begin()->second);
  }
  Demands all;
  Demands withoutN1;
  for (const auto& [node, demands] : last) {
    for (const auto& [vm, demand] : demands) {
      all[vm] = all[vm] + demand;
      if (node != "n1") {
        withoutN1[vm] = withoutN1[vm] + demand;
      }
    }
  }
  const Demands up = mAggregator.SumForParent({});
  const Demands down = mAggregator.SumForChild("n1", {});
  for (const auto& [vm, demand] : all) {
    CHECK(demand.mProgressAt == up.at(vm).mProgressAt);
    CHECK_EQUAL(demand.mWaiting, up.at(vm).mWaiting);
    CHECK_EQUAL(demand.mWaitingTokens, up.at(vm).mWaitingTokens);
    CHECK_EQUAL(demand.mStreaming, mAggregator.DemandOfOthers(vm).mStreaming);
    CHECK_EQUAL(withoutN1[vm].mStreaming, down.at(vm).mStreaming);
    CHECK(withoutN1[vm].mProgressAt == down.at(vm).mProgressAt);
  }
  mAggregator.DropExpired(now + seconds(1));
  CHECK(mAggregator.SumForParent({}).empty());
}

// Many nodes: guards against the answer to a child's report, of which a parent
// sends thousands a second, taking longer with each further child.
TEST(DemandAggregator, TimeOfAnAnswerDoesNotGrowWithTheChildren)
{
  const Duration few = TimeAnswers(8);
  const Duration many = TimeAnswers(80);
  CHECK(many < few * 4 + milliseconds(20));
}

TEST(DemandAggregator, DiscardsTheDemandsOfAPreviousParent)
{
  mAggregator.StoreFromParent({ { "h", Streams(4) } }, kNow);
  mAggregator.DiscardFromParent();
  CHECK_EQUAL(0U, mAggregator.DemandOfOthers("h").mStreaming);
}

TEST_GROUP(DemandReport){};

TEST(DemandReport, RoundTrips)
{
  const DemandReport sent{ "token",
                           { { "h1", { 3, 70000, 9, kNow - milliseconds(40) } },
                             { "h2", {} } } };
  const auto got = DecodeReport(EncodeReport(sent, kNow), kNow + seconds(5));
  CHECK(got.has_value());
  STRCMP_EQUAL("token", got->mToken.c_str());
  const TargetDemand& demand = got->mDemands.at("h1");
  CHECK_EQUAL(3U, demand.mWaiting);
  CHECK_EQUAL(70000U, demand.mWaitingTokens);
  CHECK_EQUAL(9U, demand.mStreaming);
  // Nodes share no clock, so the encoding preserves the age.
  CHECK(kNow + seconds(5) - milliseconds(40) == demand.mProgressAt);
  CHECK(TimePoint{} == got->mDemands.at("h2").mProgressAt);
}

TEST(DemandReport, RejectsInvalidBytes)
{
  const std::string whole =
    EncodeReport({ "t", { { "h", Streams(1) } } }, kNow);
  CHECK(!DecodeReport("", kNow).has_value());
  CHECK(!DecodeReport("GET / HTTP/1.1", kNow).has_value());
  for (size_t n = 0; n < whole.size(); ++n) {
    CHECK(!DecodeReport(std::string_view(whole).substr(0, n), kNow));
  }
}
