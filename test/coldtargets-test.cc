#include "fleet/coldtargets.h"
#include "platform/decode.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr double kPerSecond = 17;
constexpr ColdTolerance kTolerance{ 1.5, 5 };
constexpr double kAllowed = 30.5; ///< of kPerSecond and kTolerance
constexpr auto kRequestInterval = milliseconds(1);

FleetConfig
MakeConfig(double aPerSecond)
{
  FleetConfig config;
  config.mVersion = 1;
  config.mServices["engines"] = { "engines", std::nullopt, aPerSecond };
  return config;
}

FleetTarget
MakeTarget(const std::string& aVmId, TimePoint aColdUntil)
{
  FleetTarget target;
  target.mVmId = aVmId;
  target.mZone = "a";
  target.mColdUntil = aColdUntil;
  return target;
}

std::vector<std::string>
NodeIds(size_t aFirst, size_t aCount)
{
  std::vector<std::string> ids;
  for (size_t n = aFirst; n < aFirst + aCount; ++n) {
    ids.push_back("node-" + std::to_string(n));
  }
  return ids;
}

/// A node that sends to one target as often as it may.
struct Sender
{
  Sender(const std::string& aSelf,
         const std::vector<std::string>& aRoster,
         TimePoint aSendsFrom = TimePoint::min())
  {
    std::vector<std::string> others = aRoster;
    std::erase(others, aSelf);
    mTargets.mByService["engines"] = { MakeTarget("vm", TimePoint::max()) };
    MarkColdTargets(mTargets,
                    MakeConfig(kPerSecond),
                    {},
                    { aSelf, others, true, aSendsFrom, kTolerance });
  }

  bool MaySend(TimePoint aNow)
  {
    return ChooseWithTurn(mTargets.mByService["engines"],
                          *mLoads,
                          { "a", "", aNow, 0 },
                          {}) != nullptr;
  }

  FleetTargets mTargets;
  std::unique_ptr<TargetLoads> mLoads = std::make_unique<TargetLoads>();
};

/// All nodes have requests for the target all the time.
/// @return the most requests that the target gets in any second
size_t
MostInASecond(std::vector<Sender>& aSenders)
{
  std::vector<TimePoint> sent;
  for (TimePoint now = kNow; now < kNow + seconds(4); now += kRequestInterval) {
    for (Sender& it : aSenders) {
      if (it.MaySend(now)) {
        sent.push_back(now);
      }
    }
  }
  size_t most = 0;
  for (auto it = sent.begin(); it != sent.end(); ++it) {
    const auto end = std::upper_bound(it, sent.end(), *it + seconds(1));
    most = std::max(most, static_cast<size_t>(end - it));
  }
  return most;
}

void
AddSenders(std::vector<Sender>& aSenders,
           const std::vector<std::string>& aNodes,
           const std::vector<std::string>& aRoster)
{
  for (const std::string& it : aNodes) {
    aSenders.emplace_back(it, aRoster);
  }
}

} // namespace

TEST_GROUP(ColdTargets){};

// The load: every caller of every node wants the cold target.
TEST(ColdTargets, AllNodesTogetherStayWithinTheRate)
{
  for (const size_t n : { 1, 2, 10, 89, 300 }) {
    std::vector<Sender> senders;
    const std::vector<std::string> nodes = NodeIds(0, n);
    AddSenders(senders, nodes, nodes);
    const size_t most = MostInASecond(senders);
    CHECK_TEXT(most <= kAllowed, std::to_string(n).c_str());
    CHECK_TEXT(most > 0, std::to_string(n).c_str());
  }
}

// The load: as above, while half of the nodes know only a roster from before a
// replacement of all other nodes, as they are cut off from the store.
TEST(ColdTargets, NodesWithDifferentRostersStayWithinTheRate)
{
  for (const size_t n : { 10, 89, 300 }) {
    std::vector<Sender> senders;
    const std::vector<std::string> old = NodeIds(0, n);
    const std::vector<std::string> replaced = NodeIds(n, n);
    AddSenders(senders, old, old);
    AddSenders(senders, replaced, replaced);
    CHECK_TEXT(MostInASecond(senders) <= kAllowed, std::to_string(n).c_str());
  }
}

TEST(ColdTargets, RosterThatLacksAFewNodesChangesFewSenders)
{
  std::vector<Sender> senders;
  const std::vector<std::string> nodes = NodeIds(0, 89);
  for (size_t n = 0; n < nodes.size(); ++n) {
    std::vector<std::string> roster = nodes;
    roster.erase(roster.begin() + static_cast<ptrdiff_t>(n * 7 % 88));
    senders.emplace_back(nodes[n], roster);
  }
  CHECK(MostInASecond(senders) <= kAllowed);
}

// Guards against a node that has just started, knows no other, and takes itself
// for the only sender.
TEST(ColdTargets, NodeThatStartsSendsNothingAtFirst)
{
  Sender sender("node-0", { "node-0" }, kNow + seconds(4));
  CHECK(!sender.MaySend(kNow));
  CHECK(!sender.MaySend(kNow + seconds(3)));
  CHECK(sender.MaySend(kNow + seconds(4)));
  FleetTargets targets;
  targets.mByService["engines"] = { MakeTarget("vm", TimePoint::max()) };
  MarkColdTargets(targets,
                  MakeConfig(kPerSecond),
                  {},
                  { "node-0", {}, false, TimePoint::min(), kTolerance });
  CHECK(!(targets.mByService["engines"][0].mColdPerSecond > 0));
}

TEST(ColdTargets, AreChosenFreelyOnceTheyAreWarm)
{
  TargetLoads loads;
  const std::vector<FleetTarget> targets = { MakeTarget("vm", kNow) };
  for (int n = 0; n < 100; ++n) {
    CHECK(ChooseWithTurn(targets, loads, { "a", "", kNow, 0 }, {}) != nullptr);
  }
}

TEST(ColdTargets, OthersAreChosenInstead)
{
  TargetLoads loads;
  const std::vector<FleetTarget> targets = {
    MakeTarget("cold", kNow + seconds(3)), MakeTarget("warm", {})
  };
  for (int n = 0; n < 100; ++n) {
    const FleetTarget* chosen =
      ChooseWithTurn(targets, loads, { "a", "", kNow, n / 100.0 }, {});
    STRCMP_EQUAL("warm", chosen->mVmId.c_str());
  }
}

TEST(ColdTargets, CallersAreToldWhenTheFirstIsWarm)
{
  const TargetLoads loads;
  std::vector<FleetTarget> targets = { MakeTarget("v1", kNow + seconds(3)),
                                       MakeTarget("v2", kNow + seconds(2)) };
  const ChoiceInput input{ "a", "", kNow, 0 };
  CHECK(EndOfQuiet(targets, loads, input) == kNow + seconds(2));
  targets.push_back(MakeTarget("v3", {}));
  CHECK(!EndOfQuiet(targets, loads, input));
}

// The entry of a VM shows only some time after its zone is back that it is
// cold.
TEST(ColdTargets, TargetOfAReturningZoneCountsAsColdUntilItsEntryIsNews)
{
  FleetTargets targets;
  targets.mByService["engines"] = { MakeTarget("vm", {}),
                                    MakeTarget("later", kNow + seconds(9)) };
  const ZonesOut zones{ {}, { { "a", kNow } } };
  const std::vector<std::string> others = NodeIds(0, 3);
  MarkColdTargets(targets,
                  MakeConfig(kPerSecond),
                  zones,
                  { "self", others, true, TimePoint::min(), kTolerance });
  const std::vector<FleetTarget>& marked = targets.mByService["engines"];
  CHECK(marked[0].mColdUntil > kNow + seconds(2));
  CHECK(marked[0].mColdUntil < kNow + seconds(4));
  CHECK(marked[1].mColdUntil == kNow + seconds(9));
}

TEST(ColdTargets, ServicesWithoutALimitHaveNone)
{
  FleetTargets targets;
  targets.mByService["engines"] = { MakeTarget("vm", kNow + seconds(9)) };
  const ZonesOut zones{ {}, { { "a", kNow } } };
  MarkColdTargets(targets,
                  MakeConfig(0),
                  zones,
                  { "self", {}, true, TimePoint::min(), kTolerance });
  CHECK(targets.mByService["engines"][0].mColdUntil <= kNow);
}

TEST(ColdTargets, TooLowARateHasNoSenders)
{
  for (const double it : { 0.0, -1.0, 1.0, 3.9 }) {
    CHECK_EQUAL(0U, ShareColdRate(it, {}).mSenders);
  }
  CHECK_EQUAL(1U, ShareColdRate(4, {}).mSenders);
  CHECK(ShareColdRate(1e9, { 1e9, 1e9 }).mSenders <= 4);
}

TEST_GROUP(ColdDecode){};

// Guards against requests at the usual rate to a VM that says it is cold, and
// against one that is taken for cold forever.
TEST(ColdDecode, ReadsForHowLongAVmIsCold)
{

  const std::pair<const char*, TimePoint> rows[] = {
    { "1500", kNow + milliseconds(1500) },
    { "0", TimePoint{} },
    { "-1", TimePoint{} },
    { "null", TimePoint{} },
    { "\"1500\"", TimePoint{} },
    { "1e300", kNow + std::chrono::minutes(1) },
  };
  for (const auto& [value, until] : rows) {
    const std::string spec =
      R"({"service":"s","addr":"10.0.0.9:80","state":"ready","cold_left_ms":)" +
      std::string(value) + "}";
    const FleetVm vm = DecodeVm({ "servers/i-1", 3, spec }, kNow).value();
    CHECK_TEXT(vm.mColdUntil == until, value);
  }
}

TEST(ColdDecode, ReadsTheRateThatColdVmsTolerate)
{
  const FleetConfig config =
    DecodeConfig({ "config/main", 9, R"({"version":7,"services":[
      {"name":"s","cold_per_s":17.5},{"name":"t"},
      {"name":"u","cold_per_s":-1},{"name":"v","cold_per_s":"17"},7]})" })
      .value();
  DOUBLES_EQUAL(17.5, config.mServices.at("s").mColdRequestsPerSecond, 1e-9);
  for (const char* it : { "t", "u", "v" }) {
    DOUBLES_EQUAL(0, config.mServices.at(it).mColdRequestsPerSecond, 1e-9);
  }
}
