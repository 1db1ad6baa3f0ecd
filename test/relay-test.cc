#include "core/json.h"
#include "fakeplatform.h"
#include "listing.h"
#include "manualclock.h"
#include "relay/feedmethods.h"
#include "relay/reachmethod.h"
#include "relay/relayedplatform.h"
#include "scriptedserver.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

RosterNode
Node(const char* aId, const char* aZone, double aCapacity)
{
  return { { aId, aZone, {}, "token", aCapacity }, 1 };
}

Roster
RosterOf(const std::vector<RosterNode>& aNodes)
{
  Roster roster;
  for (const RosterNode& it : aNodes) {
    roster[it.mEntry.mId] = it;
  }
  return roster;
}

std::string
IdsOf(const std::vector<RosterEntry>& aEntries)
{
  std::string ids;
  for (const RosterEntry& it : aEntries) {
    ids += it.mId + " ";
  }
  return ids;
}

/// An unreachable store whose watches take long to fail.
class UnreachableStore final : public Platform
{
public:
  Result<Object> Get(std::string_view, CallPriority) override { return Down(); }
  Result<Listing> List(std::string_view, CallPriority) override
  {
    return Down();
  }
  Result<uint64_t> Create(std::string_view,
                          std::string_view,
                          CallPriority) override
  {
    return Down();
  }
  Result<uint64_t> Update(std::string_view,
                          std::string_view,
                          uint64_t,
                          CallPriority) override
  {
    return Down();
  }
  Result<void> Delete(std::string_view, uint64_t, CallPriority) override
  {
    return Down();
  }
  Result<Listing> Watch(std::string_view, uint64_t, milliseconds) override
  {
    mOnWatch();
    return Down();
  }
  Result<VmListing> ListVms(uint64_t) override { return Down(); }

  std::function<void()> mOnWatch; ///< called while a watch waits

private:
  static Failure Down() { return { Error::StoreUnavailable, "down", "" }; }
};

} // namespace

TEST_GROUP(Upstreams){};

TEST(Upstreams, AreOrderedByZoneAndCapacityWithoutCycles)
{
  const Roster roster = RosterOf({ Node("n1", "a", 0.1),
                                   Node("n2", "a", 0.5),
                                   Node("n3", "b", 0.5),
                                   Node("n4", "b", 0.1),
                                   Node("n5", "b", 0.1) });
  STRCMP_EQUAL("", IdsOf(UpstreamsOf(roster, roster.at("n2").mEntry)).c_str());
  STRCMP_EQUAL("n2 ",
               IdsOf(UpstreamsOf(roster, roster.at("n3").mEntry)).c_str());
  STRCMP_EQUAL("n2 n3 ",
               IdsOf(UpstreamsOf(roster, roster.at("n1").mEntry)).c_str());
  STRCMP_EQUAL("n3 n4 n2 n1 ",
               IdsOf(UpstreamsOf(roster, roster.at("n5").mEntry)).c_str());
}

TEST(Upstreams, DoNotDependOnOwnEntryInRoster)
{
  const Roster roster = RosterOf({ Node("n1", "a", 1), Node("n2", "a", 1) });
  const RosterEntry late{ "n3", "a", {}, "token", 1 };
  STRCMP_EQUAL("n1 n2 ", IdsOf(UpstreamsOf(roster, late)).c_str());
}

/// Upstream nodes that answer with the results in mPeers.
TEST_GROUP(Relay)
{
  ManualClock mClock;
  FakePlatform mStore;
  Metrics mMetrics;
  FeedCache mFeeds{ mClock };
  std::map<std::string, Result<FeedResponse>> mPeers;
  std::vector<std::string> mReadFrom;
  RelayedPlatform mRelay{
    { mStore,
      mFeeds,
      [this](
        const RosterEntry& aPeer, std::string_view, uint64_t, milliseconds) {
        mReadFrom.push_back(aPeer.mId);
        return mPeers.at(aPeer.mId);
      },
      mMetrics,
      mClock }
  };

  void Follow(std::vector<RosterEntry> aPeers)
  {
    mRelay.SetUpstreams({ std::move(aPeers), {} });
  }

  static PrecedingNodes SevenInZone()
  {
    PrecedingNodes nodes;
    for (int n = 1; n <= 7; ++n) {
      nodes.mInZone.push_back({ "n" + std::to_string(n), "a", {}, "t", 1 });
    }
    return nodes;
  }

  static Result<FeedResponse> Answer(uint64_t aRevision, milliseconds aAge)
  {
    return FeedResponse{ ListingOf(aRevision, { { "a/1", aRevision, "x" } }),
                         aAge };
  }

  static Result<FeedResponse> NoResponse()
  {
    return Failure{ Error::PeerUnavailable, "silent", "" };
  }
};

TEST(Relay, ReadsStoreWithoutUpstreams)
{
  CHECK(mRelay.ReadsStoreDirectly());
  CHECK(mStore.Create("a/1", "x", CallPriority::Config).has_value());
  CHECK_EQUAL(1U,
              mRelay.List("a/", CallPriority::Config).value().mObjects.size());
  CHECK(mReadFrom.empty());
}

TEST(Relay, UsesAgeReportedByUpstream)
{
  Follow({ { "n1", "a", {}, "t", 1 } });
  mPeers.emplace("n1", Answer(7, milliseconds(900)));
  const Result<Listing> read = mRelay.Watch("a/", 5, milliseconds(100));
  CHECK_EQUAL(900, ToMillis(read.value().mMaxAge));
  CHECK(!mRelay.ReadsStoreDirectly());
}

TEST(Relay, FallsBackToStoreAndThenToNextUpstream)
{
  Follow({ { "n1", "a", {}, "t", 1 }, { "n2", "a", {}, "t", 1 } });
  mPeers.emplace("n1", NoResponse());
  mPeers.emplace("n2", Answer(7, milliseconds(10)));
  CHECK(mRelay.List("a/", CallPriority::Config).has_value());
  CHECK_EQUAL(1U, mReadFrom.size());
  CHECK(mRelay.Watch("a/", 5, milliseconds(100)).has_value());
  STRCMP_EQUAL("n2", mReadFrom.back().c_str());
  mClock.Advance(seconds(4));
  CHECK(mRelay.Watch("a/", 5, milliseconds(100)).has_value());
  STRCMP_EQUAL("n1", mReadFrom.back().c_str());
}

// Two nodes of a chain lose the store. If the second waits for the store before
// its followers get an error, the configuration of the third node gets older
// than two seconds.
TEST(Relay, FailsFollowersDuringSlowStoreRead)
{
  UnreachableStore store;
  RelayedPlatform relay{
    { store,
      mFeeds,
      [](const RosterEntry&, std::string_view, uint64_t, milliseconds) {
        return NoResponse();
      },
      mMetrics,
      mClock }
  };
  relay.SetUpstreams({ { { "n1", "a", {}, "t", 1 } }, {} });
  mFeeds.Update("a/", ListingOf(7, {}), true, mClock.Now());
  bool followersFailed = false;
  store.mOnWatch = [&] {
    // Followers keep using this node if the store answers at once.
    CHECK(mFeeds.WaitForChanges("a/", 7, mClock.Now()).has_value());
    mClock.Advance(milliseconds(200));
    followersFailed = !mFeeds.WaitForChanges("a/", 7, mClock.Now()).has_value();
  };
  CHECK(!relay.Watch("a/", 7, milliseconds(100)).has_value());
  CHECK(followersFailed);
}

// While the store is unavailable, nodes with upstreams limit their retries.
TEST(Relay, LimitsStoreRetriesAfterFailure)
{
  Follow({ { "n1", "a", {}, "t", 1 } });
  mPeers.emplace("n1", NoResponse());
  mStore.mNextReadFault = StoreFault::Unavailable;
  CHECK(!mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  CHECK(!mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  mClock.Advance(milliseconds(1600));
  CHECK(mRelay.Watch("a/", 7, milliseconds(100)).has_value());
}

// Guards against all nodes of a zone that turn to the store at the moment at
// which the node that they follow loses it: most ask another upstream first.
TEST(Relay, AFollowerAsksItsOtherUpstreamsBeforeTheStore)
{
  mRelay.SetUpstreams(SevenInZone());
  mPeers.emplace("n1", NoResponse());
  mPeers.emplace("n2", Failure{ Error::StoreUnavailable, "", "" });
  mPeers.emplace("n3", Answer(7, milliseconds(10)));
  mStore.mNextReadFault = StoreFault::Unavailable;
  CHECK(mRelay.Watch("a/", 5, milliseconds(100)).has_value());
  STRCMP_EQUAL("n3", mReadFrom.back().c_str());
  CHECK_EQUAL(3U, mReadFrom.size());
}

// Guards against a follower without upstreams that asks the store for each of
// its feeds while the store is away.
TEST(Relay, AFollowerTakesAFailedReadForAllItsFeeds)
{
  mRelay.SetUpstreams(SevenInZone());
  for (const char* it : { "n1", "n2", "n3" }) {
    mPeers.emplace(it, Failure{ Error::StoreUnavailable, "", "" });
  }
  mStore.mNextReadFault = StoreFault::Unavailable;
  CHECK(!mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  CHECK(!mRelay.Watch("b/", 7, milliseconds(100)).has_value());
  CHECK(!mRelay.List("c/", CallPriority::Status).has_value());
  mClock.Advance(seconds(7));
  CHECK(mRelay.Watch("b/", 7, milliseconds(100)).has_value());
}

// Guards against an age that lacks the time in which other upstreams failed,
// so that a key stays valid for too long.
TEST(Relay, AgeCountsFromTheStartOfTheCall)
{
  RelayedPlatform relay{
    { mStore,
      mFeeds,
      [this](
        const RosterEntry& aPeer, std::string_view, uint64_t, milliseconds) {
        mClock.Advance(milliseconds(400));
        return aPeer.mId == "n1" ? NoResponse() : Answer(7, milliseconds(500));
      },
      mMetrics,
      mClock }
  };
  relay.SetUpstreams(SevenInZone());
  const TimePoint startedAt = mClock.Now();
  const Listing read = relay.Watch("a/", 5, milliseconds(600)).value();
  // The second upstream was asked 400 ms after the start.
  CHECK(startedAt - read.mMaxAge ==
        startedAt + milliseconds(400) - milliseconds(500));
}

// Guards against a node that counts nodes that are gone for good as preceding
// it, so that it takes no part in the planner's lease and waits for seconds
// before it asks the store again (CONFIG, RECOVER).
TEST(Relay, NodesThatDoNotAnswerHaveNoPartInItsRank)
{
  mRelay.SetUpstreams({ { { "n1", "a", {}, "t", 1 },
                          { "n2", "a", {}, "t", 1 },
                          { "n3", "a", {}, "t", 1 } },
                        {} });
  for (const char* it : { "n1", "n2", "n3" }) {
    mPeers.emplace(it, NoResponse());
  }
  CHECK(!mRelay.IsReader());
  CHECK(mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  CHECK(mRelay.IsReader());
  CHECK(mRelay.IsFirstInZone());
  CHECK(mRelay.ReadsStoreDirectly());
  mStore.mNextReadFault = StoreFault::Unavailable;
  CHECK(!mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  mClock.Advance(milliseconds(1000));
  CHECK(mRelay.Watch("a/", 7, milliseconds(100)).has_value());
  // Still after the time at which they are asked again.
  mClock.Advance(seconds(3));
  CHECK(mRelay.IsFirstInZone());
}

// Guards against a node that has only upstreams that are gone, although others
// precede it.
TEST(Relay, ReadsFromTheNodesAfterThoseThatDoNotAnswer)
{
  mRelay.SetUpstreams(SevenInZone());
  for (const char* it : { "n1", "n2", "n3" }) {
    mPeers.emplace(it, NoResponse());
  }
  mPeers.emplace("n4", Answer(7, milliseconds(10)));
  (void)mRelay.Watch("a/", 5, milliseconds(100));
  (void)mRelay.Watch("a/", 5, milliseconds(100));
  STRCMP_EQUAL("n4", mReadFrom.back().c_str());
  STRCMP_EQUAL("n4", mRelay.Upstreams().front().mId.c_str());
  CHECK(mRelay.IsReader() == (mRelay.RankInZone() < 3));
  CHECK_EQUAL(4U, mRelay.RankInZone());
}

// Guards against a node that is passed over for good although it is back.
TEST(Relay, ReadsAgainFromANodeThatAnswersAgain)
{
  Follow({ { "n1", "a", {}, "t", 1 } });
  mPeers.emplace("n1", NoResponse());
  (void)mRelay.Watch("a/", 5, milliseconds(100));
  CHECK_EQUAL(0U, mRelay.RankInZone());
  mPeers.at("n1") = Answer(7, milliseconds(10));
  mClock.Advance(seconds(3));
  (void)mRelay.Watch("a/", 5, milliseconds(100));
  CHECK_EQUAL(1U, mRelay.RankInZone());
  CHECK(!mRelay.ReadsStoreDirectly());
}

TEST(Relay, LeavesUpstreamWithStaleData)
{
  Follow({ { "n1", "a", {}, "t", 1 } });
  mPeers.emplace("n1", Answer(7, milliseconds(2700)));
  const Result<Listing> read = mRelay.Watch("a/", 5, milliseconds(100));
  CHECK_EQUAL(0, ToMillis(read.value().mMaxAge));
  CHECK(mRelay.ReadsStoreDirectly());
}

TEST(Relay, ForwardsHistoryGoneAndKeepsUpstream)
{
  Follow({ { "n1", "a", {}, "t", 1 } });
  mPeers.emplace("n1", Failure{ Error::StoreHistoryGone, "", "" });
  CHECK(Error::StoreHistoryGone ==
        mRelay.Watch("a/", 5, milliseconds(100)).error().mError);
  CHECK(!mRelay.ReadsStoreDirectly());
}

TEST(Relay, FailsFollowersWhenStoreFails)
{
  CHECK(mRelay.List("a/", CallPriority::Config).has_value());
  mStore.mNextReadFault = StoreFault::Unavailable;
  CHECK(!mRelay.Watch("a/", 1, milliseconds(100)).has_value());
  CHECK(!mFeeds.WaitForChanges("a/", 1, mClock.Now()).has_value());
}

TEST(Relay, ServesFeedToOtherNodes)
{
  mFeeds.Update("a/", ListingOf(7, { { "a/1", 7, "x" } }), true, mClock.Now());
  RpcServer server;
  const std::atomic<bool> stopping{ false };
  AddFeedMethods(server, mFeeds, mClock, stopping);
  const std::string response =
    server.HandleMessage(R"({"jsonrpc":"2.0","id":1,"method":"follow",)"
                         R"("params":{"prefix":"a/","since":0,"wait_ms":0}})");
  const Json::Value result = ParseJsonObject(response).value()["result"];
  CHECK_EQUAL(7U, NumberAt(result["objects"][0], "version"));
  CHECK_EQUAL(1U, NumberAt(result, "age_ms"));
}

TEST(Relay, RefusesFollowersWhileStopping)
{
  mFeeds.Update("a/", ListingOf(7, {}), true, mClock.Now());
  RpcServer server;
  const std::atomic<bool> stopping{ true };
  AddFeedMethods(server, mFeeds, mClock, stopping);
  const std::string response =
    server.HandleMessage(R"({"jsonrpc":"2.0","id":1,"method":"follow",)"
                         R"("params":{"prefix":"a/","since":6,"wait_ms":0}})");
  CHECK(response.find("error") != std::string::npos);
}

// Guards against a node that takes no answer for one that other nodes reach
// the targets, and against callers of the method that are no nodes.
TEST(Relay, AsksOtherNodesForTheirReach)
{
  RpcServer server;
  bool reaches = true;
  AddReachMethod(server, "n9", [&reaches] { return reaches; });
  const std::string question =
    R"({"jsonrpc":"2.0","id":1,"method":"reach","params":{}})";
  STRCMP_CONTAINS("\"reaches_targets\":true",
                  server.HandleMessage(question).c_str());
  reaches = false;
  STRCMP_CONTAINS("\"reaches_targets\":false",
                  server.HandleMessage(question).c_str());
  const SystemClock clock;
  HttpClient client(clock);
  const ScriptedServer silent({});
  CHECK(!MakePeerReachReader(client, clock)(
    { "n2", "a", silent.Address(), "token", 1 }));
}
