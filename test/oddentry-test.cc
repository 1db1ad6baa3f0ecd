#include "core/json.h"
#include "core/jsonscan.h"
#include "fleet/targetchoice.h"
#include "manualclock.h"
#include "plannerworld.h"
#include "platform/decode.h"
#include "platform/objectstore.h"
#include "relay/feedcache.h"
#include "scriptedserver.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const char* const kGoodSpec =
  R"({"service":"s","addr":"10.0.0.9:80","state":"ready","born":17})";

std::string
Nested(size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// What another writer may leave in an entry of the list of VMs.
std::vector<std::string>
OddSpecs()
{
  const auto withField = [](const std::string& aField) {
    return R"({"service":"s","state":"ready","addr":"10.0.0.8:80",)" + aField +
           "}";
  };
  return { withField("\"x\":" + Nested(64)),
           withField("\"x\":" + Nested(100000)),
           withField("\"x\":1e400"),
           withField("\"x\":-1e400"),
           withField("\"born\":123456789012345678901234567890e999"),
           withField("\"x\":\"\\ud800\""),
           withField("\"state\":\"ready\""),
           withField("\"x\":nul"),
           withField("\"x\":\"]}\\\"\",\"y\":1e999"),
           "nul",
           "1e400",
           Nested(100000),
           R"({"service":"s","state":"ready","addr":"10.0.0.8:0"})",
           R"({"service":"s","state":"ready","addr":"10.0.0.8:65536"})",
           R"({"service":"s","state":"ready","addr":"10.0.0.8:99999"})",
           R"({"service":"s","state":"ready","addr":"10.0.0.8:-1"})",
           R"({"service":"s","state":"ready","addr":"10.0.0.8:1e3"})",
           R"({"service":"s","state":"ready","addr":"no where:80"})",
           R"({"service":"s","state":"ready","addr":"a.example:80"})",
           R"({"service":"s","state":"ready","addr":[["10.0.0.8",80]]})" };
}

std::string
MakeItem(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName + R"(","rev":4},"spec":)" + aSpec +
         "}";
}

std::string
MakeResponse(const std::string& aBody)
{
  return "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// @return the ids of the VMs that can be used
std::string
UsableVms(const Listing& aListing)
{
  std::string ids;
  for (const Object& it : aListing.mObjects) {
    const Result<FleetVm> vm = DecodeVm(it, TimePoint{});
    ids += vm ? vm.value().mId + " " : "";
  }
  return ids;
}

} // namespace

TEST_GROUP(OddEntry)
{
  SystemClock mClock;
  Metrics mMetrics;
  HttpClient mClient{ mClock };

  Result<Listing> Read(const std::string& aBody, bool aIsList)
  {
    ScriptedServer server({ { MakeResponse(aBody) } });
    ObjectStore store(server.Address(), mClient, mClock, mMetrics);
    return aIsList ? store.List("servers/", CallPriority::Config)
                   : store.Watch("servers/", 3, milliseconds(50));
  }

  void CheckOthersHold(const std::string& aOdd)
  {
    const std::string items[] = { MakeItem("a", kGoodSpec),
                                  aOdd,
                                  MakeItem("c", kGoodSpec) };
    const Result<Listing> listed =
      Read(R"({"has_more":false,"as_of":5,"items":[)" + items[0] + "," +
             items[1] + "," + items[2] + "]}",
           true);
    const Result<Listing> watched =
      Read(R"({"as_of":5,"events":[{"deleted":false,"object":)" + items[0] +
             R"(},{"deleted":false,"object":)" + items[1] +
             R"(},{"deleted":false,"object":)" + items[2] + "}]}",
           false);
    const std::string text = aOdd.substr(0, 200);
    CHECK_TEXT(listed.has_value(), text.c_str());
    CHECK_TEXT(watched.has_value(), text.c_str());
    STRCMP_EQUAL_TEXT("a c ", UsableVms(listed.value()).c_str(), text.c_str());
    STRCMP_EQUAL_TEXT("a c ", UsableVms(watched.value()).c_str(), text.c_str());
  }
};

// Guards against one entry that no parser accepts, or that names no usable
// target, which costs the other entries of its list or watch.
TEST(OddEntry, CostsNoOtherEntry)
{
  for (const std::string& it : OddSpecs()) {
    CheckOthersHold(MakeItem("b", it));
  }
}

// Guards against an entry that is readable by itself, but nested too deeply
// within its list.
TEST(OddEntry, IsUsedIfItIsReadableByItself)
{
  const std::string spec =
    R"({"service":"s","state":"ready","addr":"10.0.0.8:80","x":)" + Nested(62) +
    "}";
  const Listing listing =
    Read(R"({"has_more":false,"as_of":5,"items":[)" + MakeItem("b", spec) +
           "," + MakeItem("c", kGoodSpec) + "]}",
         true)
      .value();
  STRCMP_EQUAL("b c ", UsableVms(listing).c_str());
}

// Guards against an entry whose metadata can't be read, as above.
TEST(OddEntry, WithoutReadableMetadataIsLeftOut)
{
  for (const char* it :
       { "7",
         "{}",
         R"({"metadata":7})",
         R"({"metadata":{"name":7,"rev":4},"spec":{}})",
         R"({"metadata":{"name":"b"},"spec":{}})",
         R"({"metadata":{"name":"b","rev":-4},"spec":{}})",
         R"({"metadata":{"name":"b","rev":1e400},"spec":{}})",
         R"({"metadata":{"name":"b","rev":99999999999999999999},"spec":{}})",
         R"({"metadata":{"name":"\ud800","rev":4},"spec":{}})",
         R"({"metadata":{"name":"x\r\nEvil: 1","rev":4},
             "spec":{"service":"s","addr":"10.0.0.9:80","state":"ready"}})" }) {
    CheckOthersHold(it);
  }
}

// Guards against an entry that is followed although its new content can't be
// read: it is listed without a value, so that no node takes the old one.
TEST(OddEntry, IsListedWithoutAValue)
{
  const Listing changes =
    Read(R"({"as_of":5,"events":[{"deleted":false,"object":)" +
           MakeItem("b", "{\"x\":1e400}") + "}]}",
         false)
      .value();
  CHECK_EQUAL(1U, changes.mObjects.size());
  STRCMP_EQUAL("servers/b", changes.mObjects[0].mKey.c_str());
  STRCMP_EQUAL("", changes.mObjects[0].mValue.c_str());
}

// Guards against a name with characters of a query that breaks the paging.
TEST(OddEntry, NameIsEncodedWhenTheListIsContinued)
{
  ScriptedServer server(
    { { MakeResponse(R"({"has_more":true,"as_of":5,"items":[)" +
                     MakeItem("b&c=d /e", kGoodSpec) + "]}") },
      { MakeResponse(R"({"has_more":true,"as_of":5,"items":[7]})") } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.List("servers/", CallPriority::Config).value();
  CHECK_EQUAL(1U, listing.mObjects.size());
  STRCMP_CONTAINS("after=b%26c%3Dd%20%2Fe ", server.Requests()[1].c_str());
}

// Guards against a call to the store for another object, or one that holds
// another call, because of an odd name.
TEST(OddEntry, NameIsEncodedInThePathOfACall)
{
  ScriptedServer server({ { MakeResponse("{}") } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  (void)store.Get("servers/a b?c#d%e\r\nf:g/h", CallPriority::Config);
  STRCMP_CONTAINS("servers/a%20b%3Fc%23d%25e%0D%0Af:g/h HTTP/1.1\r\n",
                  server.Requests().at(0).c_str());
}

// Guards against numbers of a configuration that fit no integer type.
TEST(OddEntry, NumbersOfAConfigurationAreBounded)
{
  const FleetConfig config = DecodeConfig({ "config/main", 1, R"({"version":3,
      "routes":[{"name":"r","kind":"idempotent","timeout_ms":1e300,
        "slo_ms":-1e300,"attempts":4294967297}],
      "services":[{"name":"s","engine":{"slots":-1,"stride":1e30,
        "models":[{"name":"m","size":0,"load_s":1e300}]}}]})" })
                               .value();
  CHECK(config.mRoutes[0].mTimeout == std::chrono::hours(24));
  CHECK(config.mRoutes[0].mLatencyTarget == milliseconds(0));
  CHECK_EQUAL(1U, config.mRoutes[0].mAttempts);
  const EngineSpec& engine = *config.mServices.at("s").mEngine;
  CHECK_EQUAL(1U, engine.mModels[0].mSize);
  CHECK(engine.mModels[0].mLoadTime == std::chrono::hours(24));
}

// Guards against an account whose requests can't be written, and which seems to
// be in force.
TEST(OddEntry, AccountWhoseNameFitsNoHeaderIsLeftOut)
{
  const FleetConfig config = DecodeConfig({ "config/main", 1, R"({"version":3,
      "tenants":[{"name":"a\r\nX: y","keys":["odd"]},
        {"name":"b\u0000","keys":["zero"]},{"name":"c","keys":["k"]}]})" })
                               .value();
  CHECK(FindAccount(config, "odd") == nullptr);
  CHECK(FindAccount(config, "zero") == nullptr);
  CHECK(FindAccount(config, "k") != nullptr);
}

// Guards against callers that are refused, or hold memory, by another limit on
// heads than the configured one.
TEST(OddEntry, LimitOfHeadsIsConfiguredAndBounded)
{
  const auto limitOf = [](const std::string& aLimits) {
    return DecodeConfig(
             { "config/main", 1, R"({"version":3,"limits":)" + aLimits + "}" })
      .value()
      .mLimits.mMaxHeadBytes;
  };
  CHECK_EQUAL(8192U, limitOf(R"({"header_bytes":8192})"));
  CHECK_EQUAL(16384U, limitOf("{}"));
  CHECK_EQUAL(16384U, limitOf(R"({"header_bytes":"x"})"));
  CHECK_EQUAL(1024U, limitOf(R"({"header_bytes":0})"));
  CHECK_EQUAL(1048576U, limitOf(R"({"header_bytes":1e15})"));
}

// Guards against parts of a configuration with another type that end its
// decoding with an exception.
TEST(OddEntry, PartsOfAConfigurationOfAnotherTypeAreLeftOut)
{
  const FleetConfig config = DecodeConfig({ "config/main", 1, R"({"version":3,
      "routes":[],"limits":7,"tenants":[7,{"name":"y","keys":[7,"k"]}],
      "services":[7,"s",[1],{"name":"e","engine":{"models":[7],"usual":7}}]})" })
                               .value();
  CHECK_EQUAL(3U, config.mVersion);
  CHECK(FindAccount(config, "k") != nullptr);
  CHECK(config.mServices.at("e").mEngine.has_value());
}

TEST_GROUP(OddRank)
{
  static constexpr uint32_t kLargeRank = 20'000'000;

  PlannerWorld mWorld;
  std::string mHead;

  /// Forms a group and adds an entry that claims a large rank in it.
  void Form()
  {
    mWorld.Add("d0", 4, "small");
    mWorld.Settle();
    mHead = mWorld.OpenHeads("small").front();
    FleetVm odd = mWorld.mVms[mHead];
    odd.mId = "z-odd";
    odd.mMembership->mRank = kLargeRank;
    odd.mMembership->mModel = "";
    mWorld.mVms[odd.mId] = odd;
  }

  size_t CountTargets() const
  {
    FleetConfig config;
    config.mServices[PlannerWorld::kService] = { PlannerWorld::kService,
                                                 mWorld.mEngine };
    const FleetTargets targets = FindTargets(mWorld.mVms, config);
    const auto found = targets.mByService.find(PlannerWorld::kService);
    return found == targets.mByService.end() ? 0 : found->second.size();
  }
};

// Guards against an entry whose rank costs memory for each rank below it, which
// ends the nodes that read the list.
TEST(OddRank, SizesNothing)
{
  const FleetVm vm = DecodeVm({ "servers/odd", 1, R"({"service":"s",
      "addr":"10.0.0.8:80","state":"ready","models":[{"name":"m"}],
      "group":{"name":"x1","epoch":1,"rank":20000000,"state":"open"}})" },
                              TimePoint{})
                       .value();
  const FleetVms vms{ { vm.mId, vm } };
  const std::vector<ObservedGroup> groups = FindGroups(vms, "s");
  CHECK_EQUAL(1U, groups.size());
  CHECK_EQUAL(1U, groups[0].mMembers.size());
}

// Guards against an entry that takes a group out of service by claiming a rank
// that the group doesn't have.
TEST(OddRank, LeavesTheGroupServing)
{
  Form();
  CHECK_EQUAL(1U, CountTargets());
  mWorld.mVms.erase(mWorld.MembersOf(mHead).back());
  CHECK_EQUAL(0U, CountTargets());
}

// Guards against a new planner that closes the group for such an entry.
TEST(OddRank, LeavesTheGroupToANewPlanner)
{
  Form();
  mWorld.mState = MakePlannerState(8);
  mWorld.Step();
  CHECK_EQUAL(3U, mWorld.MembersOf(mHead).size());
  mWorld.Settle();
  CHECK(mWorld.OpenHeads("small") == std::vector<std::string>{ mHead });
}

TEST_GROUP(JsonScan){};

TEST(JsonScan, SplitsObjectsAndArrays)
{
  const auto members =
    SplitJsonObject(R"( { "a" : [1, {"b":"]"}] , "c":"x\"," } )").value();
  CHECK_EQUAL(2U, members.size());
  STRCMP_EQUAL(R"([1, {"b":"]"}])", std::string(members[0].mValue).c_str());
  STRCMP_EQUAL(R"("x\",")", std::string(FindMember(members, "c")).c_str());
  CHECK(FindMember(members, "d").empty());
  CHECK_EQUAL(0U, SplitJsonObject("{}").value().size());
  CHECK_EQUAL(0U, SplitJsonArray(" [ ] ").value().size());
  CHECK_EQUAL(3U, SplitJsonArray(R"([1,"a,b",{"c":[2,3]}])").value().size());
}

TEST(JsonScan, RefusesWhatHasNoEnd)
{
  for (const char* it :
       { "", "[", "[1", "[1,", "[1,]", "[1]]", "[\"a]", "{}" }) {
    CHECK_TEXT(!SplitJsonArray(it), it);
  }
  for (const char* it :
       { "", "{", "{\"a\"}", "{\"a\":}", "{a:1}", "{\"a\":1", "{\"a\":1}x" }) {
    CHECK_TEXT(!SplitJsonObject(it), it);
  }
}

// Guards against an entry that is ignored without a word: its rank is named,
// and those of a group that forms are not.
TEST(OddEntry, RanksWithoutAPlaceAreNamed)
{
  EngineSpec engine;
  engine.mModels = { { "small", 3, 1, 1, seconds(12), milliseconds(1100) } };
  FleetConfig config;
  config.mServices["s"] = { "s", engine };
  FleetVms vms;
  for (const uint32_t rank : { 0U, 2U, 3U, 4294967295U }) {
    FleetVm vm;
    vm.mId = "v" + std::to_string(rank);
    vm.mService = "s";
    vm.mMembership =
      GroupMembership{ { "g", 1 }, rank, MembershipPhase::Joining, "small" };
    vms[vm.mId] = vm;
  }
  const std::map<std::string, uint32_t> odd = FindOddRanks(vms, config);
  CHECK_EQUAL(2U, odd.size());
  CHECK_EQUAL(3U, odd.at("v3"));
  CHECK_EQUAL(4294967295U, odd.at("v4294967295"));
}
