#include "core/ini.h"
#include "manualclock.h"
#include "platform/decode.h"
#include "platform/enginecontrol.h"
#include "platform/objectstore.h"
#include "scriptedserver.h"

#include <filesystem>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

Object
MakeVmObject(const std::string& aValue)
{
  return { "servers/i-1", 3, aValue };
}

std::string
MakeResponse(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " x\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace

TEST_GROUP(Decode){};

TEST(Decode, ReadsAVmWithItsGroupMembership)
{
  const FleetVm vm =
    DecodeVm(MakeVmObject(R"({"service":"s","addr":"10.0.0.9:80","zone":"z",
      "state":"ready","born":17,"domain":"d","slots":26,"seq":4,
      "staged":["m"],"models":[{"name":"m","version":1}],
      "group":{"name":"g7","epoch":12,"rank":2,"state":"ready"}})"),
             TimePoint{})
      .value();
  STRCMP_EQUAL("i-1", vm.mId.c_str());
  CHECK_EQUAL(17U, vm.mStartedMillis);
  CHECK(VmState::Live == vm.mState);
  CHECK_EQUAL(80, vm.mAddress.mPort);
  CHECK(vm.mMembership.has_value());
  CHECK((GroupKey{ "g7", 12 } == vm.mMembership->mKey));
  CHECK_EQUAL(2U, vm.mMembership->mRank);
  STRCMP_EQUAL("m", vm.mMembership->mModel.c_str());
}

TEST(Decode, RejectsInvalidVmEntries)
{
  for (const char* it : {
         "",
         "null",
         "[]",
         "{}",
         R"({"service":7,"addr":"10.0.0.9:80","state":"ready"})",
         R"({"service":"s","addr":"10.0.0.9:80","state":"odd"})",
         R"({"service":"s","addr":"nowhere","state":"ready"})",
         R"({"service":"s","addr":"10.0.0.9:80","state":["ready"]})",
       }) {
    CHECK_TEXT(!DecodeVm(MakeVmObject(it), TimePoint{}), it);
  }
}

// Guards against an entry that counts as a group's head because its rank can't
// be read.
TEST(Decode, IgnoresAGroupWithoutAReadableRankOrEpoch)
{
  for (const char* it : { R"("epoch":1)",
                          R"("epoch":1,"rank":"0")",
                          R"("epoch":1,"rank":-1)",
                          R"("epoch":1,"rank":4294967296)",
                          R"("epoch":1,"rank":1e300)",
                          R"("epoch":1,"rank":0.5)",
                          R"("rank":0)",
                          R"("epoch":"1","rank":0)",
                          R"("epoch":99999999999999999999,"rank":0)" }) {
    const std::string spec =
      R"({"service":"s","addr":"10.0.0.9:80","state":"ready",)"
      R"("group":{"name":"g","state":"open",)" +
      std::string(it) + "}}";
    CHECK_TEXT(!DecodeVm(MakeVmObject(spec), TimePoint{}).value().mMembership,
               it);
  }
}

TEST(Decode, IgnoresAGroupInAnUnknownState)
{
  const Result<FleetVm> vm = DecodeVm(
    MakeVmObject(R"({"service":"s","addr":"10.0.0.9:80","state":"draining",
      "group":{"name":"g","epoch":1,"rank":0,"state":"resting"}})"),
    TimePoint{});
  CHECK(VmState::Leaving == vm.value().mState);
  CHECK(!vm.value().mMembership.has_value());
}

TEST(Decode, ReadsRoutesEnginesAndAccounts)
{
  const FleetConfig config = DecodeConfig({ "config/main", 9, R"({"version":7,
      "routes":[{"name":"r","host":"h.example","path_prefix":"/a/",
        "kind":"streaming","timeout_ms":8000,"slo_ms":300,"attempts":2,
        "resumable":true,"gap_slo_ms":200,
        "split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
        {"name":"q","host":"h.example","path_prefix":"/a/b/",
        "kind":"non_idempotent","service":"t","public":true}],
      "services":[{"name":"s","engine":{"slots":26,"stride":7,
        "models":[{"name":"m","size":4,"share":0.5,"load_s":16.0}],
        "loads_per_s":4.5}},{"name":"t"}],
      "tenants":[{"name":"yard","keys":["k1","k2"]}]})" })
                               .value();
  CHECK_EQUAL(7U, config.mVersion);
  const FleetRoute* route = FindRoute(config, "H.example:80", "/a/x");
  STRCMP_EQUAL("r", route->mName.c_str());
  CHECK(RetryPolicy::Stream == route->mRetryPolicy);
  CHECK(route->mResumable);
  STRCMP_EQUAL("s", std::string(PickService(*route, 0.5)).c_str());
  STRCMP_EQUAL("t", std::string(PickService(*route, 0.95)).c_str());
  STRCMP_EQUAL("q", FindRoute(config, "h.example", "/a/b/c")->mName.c_str());
  CHECK(FindRoute(config, "other", "/a/") == nullptr);
  STRCMP_EQUAL("yard", FindAccount(config, "k2")->mName.c_str());
  CHECK(FindAccount(config, "k3") == nullptr);
  const EngineSpec& engine = *config.mServices.at("s").mEngine;
  CHECK_EQUAL(4U, engine.FindModel("m")->mSize);
  CHECK(!config.mServices.at("t").mEngine.has_value());
}

TEST(Decode, RejectsInvalidConfigurations)
{
  CHECK(!DecodeConfig({ "config/main", 1, "{" }));
  CHECK(!DecodeConfig({ "config/main", 1, "{}" }));
  CHECK(!DecodeConfig(
    { "config/main", 1, R"({"version":1,"routes":[{"kind":"new"}]})" }));
}

// Guards against a restored entry or configuration that is taken for newer than
// the one known before, and against a comparison of what states no order.
TEST(Decode, ComparesContentsByWhatTheirWriterStates)
{
  const auto compare = [](const char* aKey, const char* aL, const char* aR) {
    const std::optional<WriteOrder> l = WriteOrderOf({ aKey, 9, aL });
    const std::optional<WriteOrder> r = WriteOrderOf({ aKey, 3, aR });
    if (!l || !r) {
      return std::partial_ordering::unordered;
    }
    return *l < *r   ? std::partial_ordering::less
           : *r < *l ? std::partial_ordering::greater
                     : std::partial_ordering::equivalent;
  };
  const auto less = std::partial_ordering::less;
  const auto unordered = std::partial_ordering::unordered;
  CHECK(less == compare("config/main", R"({"version":7})", R"({"version":9})"));
  CHECK(less ==
        compare("servers/a", R"({"born":5,"seq":2})", R"({"born":5,"seq":4})"));
  CHECK(less ==
        compare("servers/a", R"({"born":5,"seq":9})", R"({"born":6,"seq":1})"));
  for (const char* it : { "", "7", "{}", R"({"born":5})", R"({"seq":2})" }) {
    CHECK(unordered == compare("servers/a", it, R"({"born":5,"seq":4})"));
    CHECK(unordered == compare("config/main", it, R"({"version":9})"));
  }
  CHECK(unordered ==
        compare("lease/x", R"({"version":7})", R"({"version":9})"));
}

TEST_GROUP(ObjectStore)
{
  SystemClock mClock;
  Metrics mMetrics;
  HttpClient mClient{ mClock };
};

TEST(ObjectStore, ListsAllPagesWithTheRevisionOfTheFirst)
{
  ScriptedServer server({
    { MakeResponse(200,
                   R"({"items":[{"metadata":{"name":"a","rev":1},"spec":{}}],
        "has_more":true,"as_of":5})") },
    { MakeResponse(200,
                   R"({"items":[7,{"metadata":{"name":"b","rev":9},"spec":{}}],
        "has_more":false,"as_of":9})") },
  });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.List("servers/", CallPriority::Config).value();
  CHECK_EQUAL(2U, listing.mObjects.size());
  CHECK_EQUAL(5U, listing.mRevision);
  STRCMP_EQUAL("servers/b", listing.mObjects[1].mKey.c_str());
  STRCMP_CONTAINS("/v1/objects/servers?after=a", server.Requests()[1].c_str());
}

TEST(ObjectStore, MapsStatusCodesToErrors)
{
  struct Case
  {
    int mStatus;
    Error mError;
  };
  const Case cases[] = { { 404, Error::StoreMissing },
                         { 409, Error::StoreConflict },
                         { 410, Error::StoreHistoryGone },
                         { 429, Error::StoreThrottled },
                         { 503, Error::StoreUnavailable } };
  for (const Case& it : cases) {
    ScriptedServer server({ { MakeResponse(it.mStatus, "{}") } });
    ObjectStore store(server.Address(), mClient, mClock, mMetrics);
    const Result<Listing> read = store.Watch("config/", 3, milliseconds(10));
    CHECK(it.mError == read.error().mError);
  }
}

TEST(ObjectStore, ReportsALostResponseAsUnavailable)
{
  ScriptedServer server({ { "", true } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Result<uint64_t> written =
    store.Update("lease/planner", "{}", 4, CallPriority::Lease);
  CHECK(Error::StoreUnavailable == written.error().mError);
  STRCMP_CONTAINS(R"("rev":4)", server.Requests()[0].c_str());
}

// Guards against a watch that was cut off and counts as an outage of the store,
// after which a removed VM is kept for seconds.
TEST(ObjectStore, AsksAgainAtOnceWhenAWatchIsCutOff)
{
  const ScriptedServer::Response changes{ MakeResponse(
    200, R"({"as_of":8,"events":[]})") };
  for (const bool isReset : { false, true }) {
    ScriptedServer server({ { "", !isReset, isReset }, changes });
    ObjectStore store(server.Address(), mClient, mClock, mMetrics);
    const TimePoint start = mClock.Now();
    const Result<Listing> listing = store.Watch("servers/", 5, seconds(20));
    CHECK(listing.has_value());
    CHECK_EQUAL(8U, listing.value().mRevision);
    CHECK(mClock.Now() - start < seconds(5));
    STRCMP_CONTAINS("watch=5&wait_ms=1 ", server.Requests()[1].c_str());
  }
}

// Guards against a store that is away and is asked again and again.
TEST(ObjectStore, AWatchThatIsCutOffTwiceFails)
{
  ScriptedServer server({ { "", true }, { "", true }, { "", true } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Result<Listing> listing = store.Watch("servers/", 5, seconds(20));
  CHECK(Error::StoreUnavailable == listing.error().mError);
  CHECK_EQUAL(2U, server.Requests().size());
}

TEST(ObjectStore, AllowsStaleDataForStatusReadsOnly)
{
  const std::string object =
    R"({"metadata":{"name":"planner","rev":4},"spec":{"a":1}})";
  ScriptedServer server(
    { { MakeResponse(200, object) }, { MakeResponse(200, object) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  CHECK(store.Get("lease/planner", CallPriority::Lease).has_value());
  CHECK(store.Get("lease/planner", CallPriority::Status).has_value());
  CHECK(server.Requests()[0].find("allow_stale") == std::string::npos);
  STRCMP_CONTAINS("?allow_stale=1", server.Requests()[1].c_str());
}

// Guards against a store whose responses without end fill the node's memory.
TEST(ObjectStore, RejectsAResponseThatIsTooLarge)
{
  ScriptedServer server(
    { { "HTTP/1.1 200 x\r\nContent-Length: 9000000\r\n\r\nxxx" } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const TimePoint before = mClock.Now();
  CHECK(!store.List("servers/", CallPriority::Config).has_value());
  CHECK(mClock.Now() < before + milliseconds(500));
}

TEST(ObjectStore, ReadsChangesAndDeletions)
{
  ScriptedServer server({ { MakeResponse(200, R"({"as_of":8,"events":[
    {"deleted":true,"object":{"metadata":{"name":"a","rev":7}}},
    {"deleted":false,"object":{"metadata":{"name":"b","rev":8},
      "spec":{"x":1}}}]})") } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.Watch("servers/", 5, milliseconds(100)).value();
  CHECK_EQUAL(8U, listing.mRevision);
  STRCMP_EQUAL("servers/a", listing.mDeleted[0].c_str());
  STRCMP_EQUAL(R"({"x":1})", listing.mObjects[0].mValue.c_str());
}

// Guards against an object that was changed and then deleted, and one that was
// deleted and then created again, within one response: each has the state of
// its last event.
TEST(ObjectStore, ReadsTheLastOfSeveralEventsOfAnObject)
{
  ScriptedServer server({ { MakeResponse(200, R"({"as_of":9,"events":[
    {"deleted":false,"object":{"metadata":{"name":"a","rev":6},"spec":{}}},
    {"deleted":true,"object":{"metadata":{"name":"b","rev":6},"spec":{}}},
    {"deleted":false,"object":{"metadata":{"name":"b","rev":7},
      "spec":{"x":1}}},
    {"deleted":false,"object":{"metadata":{"name":"b","rev":8},
      "spec":{"x":2}}},
    {"deleted":true,"object":{"metadata":{"name":"a","rev":9}}}]})") } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.Watch("servers/", 5, milliseconds(100)).value();
  CHECK_EQUAL(1U, listing.mDeleted.size());
  STRCMP_EQUAL("servers/a", listing.mDeleted[0].c_str());
  CHECK_EQUAL(1U, listing.mObjects.size());
  STRCMP_EQUAL("servers/b", listing.mObjects[0].mKey.c_str());
  STRCMP_EQUAL(R"({"x":2})", listing.mObjects[0].mValue.c_str());
}

TEST_GROUP(PlatformEngineControl)
{
  SystemClock mClock;
  HttpClient mClient{ mClock };
  PlatformEngineControl mEngines{ mClient, mClock };

  FleetOrder MakeOrder(const Endpoint& aTo) const
  {
    return {
      OrderKind::Join, "i-1", aTo, { "g7", 12 }, "m", { "i-1", "i-2" }, 5
    };
  }
};

// Guards against a failure of a VM, or of another one at its address, whose
// body is taken for its report.
TEST(PlatformEngineControl, RejectsAReportWithAnotherStatus)
{
  const std::string report = R"({"running":1,"waiting":0})";
  for (const char* it : { "421 Misdirected", "503 Busy", "500 Error" }) {
    ScriptedServer server(
      { { std::string("HTTP/1.1 ") + it + "\r\nContent-Length: " +
          std::to_string(report.size()) + "\r\n\r\n" + report } });
    const Result<EngineReport> got =
      mEngines.GetReport(server.Address(), milliseconds(500));
    CHECK_TEXT(!got.has_value(), it);
  }
}

// Guards against a report whose group can't be read, and that is taken for
// proof that the VM has left its group (TWO).
TEST(PlatformEngineControl, TellsNoMembershipWithoutAReadableGroup)
{
  const auto read = [this](const std::string& aGroup) {
    ScriptedServer server(
      { { MakeResponse(200, R"({"seq":7,"born":9)" + aGroup + "}") } });
    return mEngines.GetReport(server.Address(), milliseconds(500)).value();
  };
  const EngineReport none = read("");
  CHECK(none.mTellsMembership && !none.mMembership);
  CHECK(none.mOrderCount == 7U);
  CHECK_EQUAL(9U, none.mStartedMillis);
  CHECK(read(R"(,"group":{"name":"g","epoch":1,"rank":0,"state":"open"})")
          .mMembership.has_value());
  for (const char* it : { R"("g")", "7", "[]", "{}", R"({"name":"g"})" }) {
    CHECK_TEXT(!read(std::string(",\"group\":") + it).mTellsMembership, it);
  }
}

// Guards against a join without the number of orders that its sender expects.
TEST(PlatformEngineControl, SendsTheExpectedNumberOfOrders)
{
  ScriptedServer server(
    { { MakeResponse(202, "{}") }, { MakeResponse(202, "{}") } });
  FleetOrder order = MakeOrder(server.Address());
  mEngines.SendOrder(order);
  order.mExpectedCount = 0;
  mEngines.SendOrder(order);
  CHECK(server.Requests()[0].find("expect\"") == std::string::npos);
  STRCMP_CONTAINS(R"("expect":0)", server.Requests()[1].c_str());
}

// Guards against probed targets whose responses without end fill the node's
// memory.
TEST(PlatformEngineControl, RejectsAReportThatIsTooLarge)
{
  ScriptedServer server(
    { { "HTTP/1.1 200 x\r\nContent-Length: 70000\r\n\r\nxxx" } });
  CHECK(Error::ReplyInvalid ==
        mEngines.GetReport(server.Address(), milliseconds(500)).error().mError);
}

TEST(PlatformEngineControl, MapsStatusCodesToOutcomes)
{
  const std::pair<int, OrderOutcome> cases[] = {
    { 202, OrderOutcome::Accepted },     { 200, OrderOutcome::AlreadyDone },
    { 409, OrderOutcome::InvalidState }, { 412, OrderOutcome::Outdated },
    { 421, OrderOutcome::Invalid },
  };
  for (const auto& [status, outcome] : cases) {
    ScriptedServer server({ { MakeResponse(status, "{}") } });
    CHECK(outcome == mEngines.SendOrder(MakeOrder(server.Address())));
    const std::string request = server.Requests()[0];
    STRCMP_CONTAINS("Expect-Instance: i-1", request.c_str());
    STRCMP_CONTAINS(R"("fence":5)", request.c_str());
    STRCMP_CONTAINS(R"("members":["i-1","i-2"])", request.c_str());
  }
}

TEST(PlatformEngineControl, ReportsAnOrderWithoutResponseAsNoResponse)
{
  ScriptedServer server({});
  CHECK(OrderOutcome::NoResponse ==
        mEngines.SendOrder(MakeOrder(server.Address())));
}

TEST_GROUP(PlatformNames){};

// Names of the platform's protocol must not be used outside platform/.
TEST(PlatformNames, AppearInThePlatformFolderOnly)
{
  const std::string root = SOURCE_DIR;
  for (const char* folder : { "/src", "/bench" }) {
    for (const auto& it :
         std::filesystem::recursive_directory_iterator(root + folder)) {
      if (!it.is_regular_file()) {
        continue;
      }
      const std::string path = it.path().string();
      const std::string text = ReadTextFile(path, 1000000).value();
      for (const char* name : { "Server-Stamp",
                                "Token-Counts",
                                "Prompt-Prefix",
                                "Expect-Instance",
                                "Deadline-Ms",
                                "Req-Priority",
                                "cold_left_ms",
                                "path_prefix",
                                "slo_ms",
                                "allow_stale",
                                "as_of" }) {
        CHECK_TEXT(text.find(name) == std::string::npos,
                   (path + ": " + name).c_str());
      }
    }
  }
}
