#include "fleet/demandaggregator.h"

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
