#include "fakeplatform.h"
#include "fleet/watcher.h"
#include "groups/leaseclient.h"
#include "listing.h"
#include "manualclock.h"
#include "platform/objectstore.h"
#include "relay/registrar.h"
#include "relay/relayedplatform.h"
#include "scriptedserver.h"
#include "store/erarecord.h"
#include "store/revision.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr uint64_t
At(uint64_t aEra, uint64_t aRevision)
{
  return MakeRevision(aEra, aRevision);
}

/// @param aEra value of the header, empty for none
std::string
Response(const std::string& aEra, const std::string& aBody, int aStatus = 200)
{
  const std::string era = aEra.empty() ? "" : "\r\nStore-Era: " + aEra;
  return "HTTP/1.1 " + std::to_string(aStatus) + " x" + era +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

const std::string kList = R"({"items":[{"metadata":{"name":"a","rev":4},
  "spec":{}}],"has_more":false,"as_of":7})";
const std::string kChanges = R"({"as_of":8,"events":[]})";
const std::string kWritten = R"({"metadata":{"name":"a","rev":9}})";

} // namespace

TEST_GROUP(StoreEra)
{
  SystemClock mClock;
  Metrics mMetrics;
  HttpClient mClient{ mClock };

  /// Makes the store known to be in era aEra.
  static void ReadEra(ObjectStore & aStore)
  {
    CHECK(aStore.List("a/", CallPriority::Config).has_value());
  }
};

// Guards against revisions of two eras that compare by their numbers alone.
TEST(StoreEra, OrdersRevisionsByEraFirst)
{
  CHECK(At(2, 1) > At(1, 900));
  CHECK(At(1, 900) > At(0, 901));
  CHECK_EQUAL(2U, EraOf(At(2, 7)));
  CHECK_EQUAL(7U, StoreRevisionOf(At(2, 7)));
  CHECK_EQUAL(7U, At(0, 7));
}

// Guards against objects of a restored store that look older than before.
TEST(StoreEra, IsPartOfAllRevisions)
{
  ScriptedServer server({ { Response("3", kList) },
                          { Response("3", kChanges) },
                          { Response("3", kWritten) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  const Listing listing = store.List("a/", CallPriority::Config).value();
  CHECK(At(3, 7) == listing.mRevision);
  CHECK(At(3, 4) == listing.mObjects[0].mVersion);
  CHECK(At(3, 8) ==
        store.Watch("a/", At(3, 7), milliseconds(1)).value().mRevision);
  CHECK(At(3, 9) ==
        store.Update("a/a", "{}", At(3, 4), CallPriority::Lease).value());
  STRCMP_CONTAINS("watch=7&", server.Requests()[1].c_str());
  STRCMP_CONTAINS(R"("rev":4)", server.Requests()[2].c_str());
}

// Guards against changes of a restored store that are applied to objects of
// the era before.
TEST(StoreEra, EndsTheHistoryOfAWatch)
{
  ScriptedServer server(
    { { Response("1", kList) }, { Response("2", kChanges) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  for (int i = 0; i < 2; ++i) {
    const Result<Listing> read = store.Watch("a/", At(1, 7), milliseconds(1));
    CHECK(Error::StoreHistoryGone == read.error().mError);
  }
  CHECK_EQUAL(2U, server.Requests().size());
}

// Guards against a conditional write that succeeds as its revision is used
// again, for another content.
TEST(StoreEra, FailsConditionsOfAnEarlierEra)
{
  ScriptedServer server({ { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(
    Error::StoreConflict ==
    store.Update("a/a", "{}", At(1, 4), CallPriority::Lease).error().mError);
  CHECK(Error::StoreConflict ==
        store.Delete("a/a", At(1, 4), CallPriority::Lease).error().mError);
  CHECK_EQUAL(1U, server.Requests().size());
}

// Guards against a writer that believes that its condition was met when the
// store has changed its era under the call.
TEST(StoreEra, FailsAWriteDuringWhichTheEraRose)
{
  ScriptedServer server(
    { { Response("1", kList) }, { Response("2", kWritten) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(
    Error::StoreConflict ==
    store.Update("a/a", "{}", At(1, 4), CallPriority::Lease).error().mError);
}

// Guards against a late response of the previous era that is taken for the
// current state.
TEST(StoreEra, RejectsAResponseOfAnEarlierEra)
{
  ScriptedServer server({ { Response("2", kList) },
                          { Response("1", kList) },
                          { Response("1", kWritten) },
                          { Response("1", "{}", 404) },
                          { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  ReadEra(store);
  CHECK(Error::StoreHistoryGone ==
        store.List("a/", CallPriority::Config).error().mError);
  // The write may have taken effect.
  CHECK(Error::StoreUnavailable ==
        store.Create("a/a", "{}", CallPriority::Lease).error().mError);
  CHECK(Error::StoreMissing !=
        store.Get("a/a", CallPriority::Lease).error().mError);
  ReadEra(store);
}

// Guards against an invalid header that is taken for era 0.
TEST(StoreEra, RejectsResponsesWithAnInvalidHeader)
{
  for (const char* it : { "x",
                          "-1",
                          "1x",
                          "1.5",
                          "65536",
                          "99999999999999999999",
                          "",
                          " ",
                          "2\r\nStore-Era: 3" }) {
    ScriptedServer server(
      { { Response("1", kList) }, { Response(it, kList) } });
    ObjectStore store(server.Address(), mClient, mClock, mMetrics);
    ReadEra(store);
    const Result<Listing> read = store.List("a/", CallPriority::Config);
    CHECK_TEXT(!read && Error::StoreHistoryGone == read.error().mError, it);
  }
}

// Guards against a list whose pages belong to two eras.
TEST(StoreEra, RejectsAListDuringWhichTheEraRose)
{
  ScriptedServer server(
    { { Response("1",
                 R"({"items":[{"metadata":{"name":"a","rev":1},"spec":{}}],
                 "has_more":true,"as_of":5})") },
      { Response("2", kList) } });
  ObjectStore store(server.Address(), mClient, mClock, mMetrics);
  CHECK(Error::StoreHistoryGone ==
        store.List("a/", CallPriority::Config).error().mError);
}

namespace {

/// An object whose content is a number that its writer raises.
Object
Numbered(const char* aKey, uint64_t aVersion, const char* aNumber)
{
  return { aKey, aVersion, aNumber };
}

std::optional<WriteOrder>
OrderOfNumber(const Object& aObject)
{
  return WriteOrder{ 1, std::stoull(aObject.mValue) };
}

} // namespace

TEST_GROUP(RestoredFeed)
{
  ManualClock mClock;
  FeedCache mFeeds{ mClock, OrderOfNumber };

  Listing Update(const Listing& aListing, bool aIsSnapshot)
  {
    return mFeeds.Update("a/", aListing, aIsSnapshot, mClock.Now());
  }

  Result<Listing> Since(uint64_t aRevision)
  {
    Result<FeedResponse> response =
      mFeeds.WaitForChanges("a/", aRevision, mClock.Now());
    if (!response) {
      return response.error();
    }
    return response.value().mListing;
  }
};

// Guards against a follower that keeps objects which the store has lost, as its
// upstream never saw them.
TEST(RestoredFeed, MakesFollowersOfAnotherEraListAnew)
{
  Update(ListingOf(At(1, 10), { Numbered("a/1", At(1, 4), "1") }), true);
  Update(ListingOf(At(2, 8), { Numbered("a/1", At(2, 4), "1") }), true);
  CHECK(Error::StoreHistoryGone == Since(At(1, 12)).error().mError);
  CHECK(Error::StoreHistoryGone == Since(At(3, 1)).error().mError);
  CHECK(Error::StoreHistoryGone == Since(At(2, 7)).error().mError);
  CHECK_EQUAL(0U, Since(At(2, 8)).value().mObjects.size());
  CHECK_EQUAL(1U, Since(0).value().mObjects.size());
}

// Guards against a read of the previous era, which arrives late, that puts
// lost objects back.
TEST(RestoredFeed, IgnoresReadsOfAnEarlierEra)
{
  Update(ListingOf(At(2, 8), { Numbered("a/1", At(2, 4), "1") }), true);
  Update(ListingOf(At(1, 99), { Numbered("a/2", At(1, 99), "1") }), true);
  Update(ListingOf(At(1, 99), { Numbered("a/2", At(1, 99), "1") }), false);
  const Listing all = Since(0).value();
  CHECK(At(2, 8) == all.mRevision);
  CHECK_EQUAL(1U, all.mObjects.size());
  STRCMP_EQUAL("a/1", all.mObjects[0].mKey.c_str());
}

// Guards against a target that is leaving and takes new work, or a key that was
// taken away and is accepted again, as the store has returned an older content.
TEST(RestoredFeed, KeepsAContentThatIsNewerThanTheStores)
{
  Update(ListingOf(At(1, 10), { Numbered("a/1", At(1, 9), "7") }), true);
  const Listing restored =
    Update(ListingOf(At(2, 8), { Numbered("a/1", At(2, 4), "5") }), true);
  STRCMP_EQUAL("7", restored.mObjects[0].mValue.c_str());
  STRCMP_EQUAL("7", Since(0).value().mObjects[0].mValue.c_str());
  // The next listing of the same era and a second return change nothing.
  Update(ListingOf(At(2, 9), { Numbered("a/1", At(2, 4), "5") }), true);
  Update(ListingOf(At(3, 3), { Numbered("a/1", At(3, 2), "4") }), true);
  STRCMP_EQUAL("7", Since(0).value().mObjects[0].mValue.c_str());
  Update(ListingOf(At(3, 4), { Numbered("a/1", At(3, 4), "8") }), false);
  STRCMP_EQUAL("8", Since(0).value().mObjects[0].mValue.c_str());
  // An older content remains older afterwards, unless its writer goes on.
  mClock.Advance(seconds(11));
  Update(ListingOf(At(3, 5), { Numbered("a/1", At(3, 5), "2") }), false);
  STRCMP_EQUAL("8", Since(0).value().mObjects[0].mValue.c_str());
  mClock.Advance(seconds(11));
  Update(ListingOf(At(3, 6), { Numbered("a/1", At(3, 6), "3") }), false);
  STRCMP_EQUAL("3", Since(0).value().mObjects[0].mValue.c_str());
}

// Guards against a target that has left and takes new work, as the store has
// lost its deletion; and against one that stays left out although it lives.
TEST(RestoredFeed, WithholdsDeletedObjectsUntilTheyAreRenewed)
{
  Listing deletion = ListingOf(At(1, 11), {});
  deletion.mDeleted = { "a/1", "a/2", "a/3" };
  Update(ListingOf(At(1, 10),
                   { Numbered("a/1", At(1, 9), "7"),
                     Numbered("a/2", At(1, 8), "7"),
                     Numbered("a/3", At(1, 7), "7") }),
         true);
  Update(deletion, false);
  const Listing restored = Update(ListingOf(At(2, 10),
                                            { Numbered("a/1", At(2, 9), "7"),
                                              Numbered("a/2", At(2, 8), "7"),
                                              Numbered("a/3", At(2, 7), "7") }),
                                  true);
  CHECK_EQUAL(0U, restored.mObjects.size());
  CHECK_EQUAL(0U, Since(0).value().mObjects.size());
  Update(ListingOf(At(2, 11), { Numbered("a/1", At(2, 11), "8") }), false);
  CHECK_EQUAL(1U, Since(0).value().mObjects.size());
  deletion = ListingOf(At(2, 12), {});
  deletion.mDeleted = { "a/3" };
  Update(deletion, false);
  mClock.Advance(seconds(11));
  const Listing later = Update(ListingOf(At(2, 12), {}), false);
  CHECK_EQUAL(1U, later.mObjects.size());
  STRCMP_EQUAL("a/2", later.mObjects[0].mKey.c_str());
  CHECK_EQUAL(2U, Since(0).value().mObjects.size());
  CHECK_EQUAL(1U, Since(At(2, 11)).value().mObjects.size());
}

// Guards against live targets that are dropped for some seconds, as a node
// lists anew from an upstream that lags behind it.
TEST(RestoredFeed, IsNotListedFromAnUpstreamThatLagsBehind)
{
  FakePlatform store;
  Metrics metrics;
  RelayedPlatform relay(
    { store,
      mFeeds,
      [&](const RosterEntry&, std::string_view, uint64_t, milliseconds) {
        return Result<FeedResponse>(
          FeedResponse{ ListingOf(At(0, 2), {}), {} });
      },
      metrics,
      mClock });
  relay.SetUpstreams({ { { "n2", "a", { "10.0.0.2", 7 }, "token", 1 } }, {} });
  for (const char* it : { "a/1", "a/2", "a/3" }) {
    CHECK(store.Create(it, "1", CallPriority::Config).has_value());
  }
  Update(store.List("a/", CallPriority::Config).value(), true);
  CHECK_EQUAL(3U,
              relay.List("a/", CallPriority::Config).value().mObjects.size());
}

// Guards against an upstream that has not noticed the return of the store and
// takes its followers back to the state before.
TEST(RestoredFeed, IsNotReadFromAnUpstreamOfAnEarlierEra)
{
  FakePlatform store;
  Metrics metrics;
  Result<FeedResponse> answer =
    FeedResponse{ ListingOf(At(1, 20), { Numbered("a/1", At(1, 20), "9") }),
                  {} };
  RelayedPlatform relay(
    { store,
      mFeeds,
      [&](const RosterEntry&, std::string_view, uint64_t, milliseconds) {
        return answer;
      },
      metrics,
      mClock });
  relay.SetUpstreams({ { { "n2", "a", { "10.0.0.2", 7 }, "token", 1 } }, {} });
  Update(ListingOf(At(2, 8), { Numbered("a/1", At(2, 4), "1") }), true);
  const Result<Listing> read = relay.List("a/", CallPriority::Config);
  CHECK(!read || read.value().mObjects.empty());
  STRCMP_EQUAL("1", Since(0).value().mObjects[0].mValue.c_str());
}

TEST_GROUP(RestoredWatcher)
{
  ManualClock mClock;
  FakePlatform mStore;
  FleetWatcher mWatcher{ mStore,
                         { "vms/",
                           "config/",
                           "config/main",
                           [](const Object& aObject) {
                             FleetVm vm;
                             vm.mId = aObject.mKey.substr(4);
                             return Result<FleetVm>(vm);
                           },
                           [](const Object& aObject) {
                             FleetConfig config;
                             config.mVersion = std::stoull(aObject.mValue);
                             return Result<FleetConfig>(config);
                           } },
                         mClock };

  void Create(const char* aKey, const char* aValue)
  {
    CHECK(mStore.Create(aKey, aValue, CallPriority::Config).has_value());
  }

  void Update(const char* aValue)
  {
    CHECK(mStore
            .Update("config/main",
                    aValue,
                    mStore.VersionOf("config/main"),
                    CallPriority::Config)
            .has_value());
  }

  void Poll()
  {
    mWatcher.PollVms(Duration::zero());
    mWatcher.PollConfig(Duration::zero());
  }
};

// Guards against groups that are dissolved because the store has lost the
// entries of their members, which write them again.
TEST(RestoredWatcher, KeepsVmsUntilTheirEntriesAreWrittenAgain)
{
  Create("vms/1", "");
  const FakePlatform::Copy copy = mStore.Save();
  Create("vms/2", "");
  Create("vms/3", "");
  Poll();
  CHECK(mWatcher.IsSettled());
  mStore.Restore(copy);
  Poll();
  CHECK_EQUAL(3U, mWatcher.Vms()->size());
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(2));
  Create("vms/2", "");
  Poll();
  mClock.Advance(seconds(1));
  Poll();
  CHECK(mWatcher.IsSettled());
  CHECK(mWatcher.Vms()->contains("2"));
  CHECK(!mWatcher.Vms()->contains("3"));
}

// Guards against a planner that takes the first list of a restored store for
// complete, before its node has noticed the return.
TEST(RestoredWatcher, DoesNotReadVmsOfAnEraThatItHasNotNoticed)
{
  Create("vms/1", "");
  const FakePlatform::Copy copy = mStore.Save();
  Create("vms/2", "");
  Poll();
  CHECK_EQUAL(2U, mWatcher.ReadVms().value().size());
  mStore.Restore(copy);
  CHECK(!mWatcher.ReadVms().has_value());
}

// Guards against a configuration that is confirmed by a copy of the store which
// may lack a newer one, so that a key taken away is accepted for longer.
TEST(RestoredWatcher, DoesNotConfirmTheConfigurationAtOnce)
{
  Create("config/main", "7");
  const FakePlatform::Copy copy = mStore.Save();
  Poll();
  const TimePoint before = mWatcher.ConfigAsOf();
  mClock.Advance(seconds(1));
  mStore.Restore(copy);
  Poll();
  CHECK(mWatcher.ConfigAsOf() == before);
  mClock.Advance(seconds(1));
  Poll();
  CHECK(mWatcher.ConfigAsOf() == before);
  mClock.Advance(seconds(2));
  Poll();
  CHECK(mWatcher.ConfigAsOf() == mClock.Now());
}

// Guards against a configuration that is reverted, or missed although its
// revision was used before.
TEST(RestoredWatcher, NeverRevertsNorMissesAConfiguration)
{
  Create("config/main", "7");
  const FakePlatform::Copy copy = mStore.Save();
  Update("8");
  Poll();
  for (int i = 0; i < 2; ++i) {
    mStore.Restore(copy);
    Poll();
    CHECK_EQUAL(8U, mWatcher.Config()->mVersion);
  }
  Update("9");
  Poll();
  CHECK_EQUAL(9U, mWatcher.Config()->mVersion);
}

// Guards against a node that starts after the store has returned, and takes the
// copy's configuration for the latest before the operator writes it again.
TEST(RestoredWatcher, DoesNotTrustTheConfigurationOfACopyAtItsStart)
{
  Create("config/main", "7");
  const FakePlatform::Copy copy = mStore.Save();
  Update("8");
  mStore.Restore(copy);
  Poll();
  CHECK(mWatcher.ConfigAsOf() == TimePoint{});
  CHECK(mWatcher.Config() == nullptr);
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(2));
  Update("8");
  Poll();
  CHECK(mWatcher.ConfigAsOf() == TimePoint{});
  CHECK_EQUAL(0U, mWatcher.CompleteEra());
  mClock.Advance(seconds(1));
  Poll();
  CHECK_EQUAL(8U, mWatcher.Config()->mVersion);
  CHECK(mWatcher.ConfigAsOf() == mClock.Now());
  CHECK(mWatcher.IsSettled());
}

// Guards against nodes that wait at each start, though the store has returned
// long ago.
TEST(RestoredWatcher, TrustsAnEraThatIsRecordedAsComplete)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  Poll();
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
  CHECK(mWatcher.ConfigAsOf() == mClock.Now());
  CHECK_EQUAL(1U, mWatcher.CompleteEra());
}

// Guards against a node that refuses requests for the whole wait although
// another node has recorded meanwhile that the era is complete.
TEST(RestoredWatcher, EndsItsWaitOnceTheEraIsRecorded)
{
  Create("config/main", "7");
  const FakePlatform::Copy copy = mStore.Save();
  Update("8");
  mStore.Restore(copy);
  Poll();
  mClock.Advance(milliseconds(500));
  Poll();
  CHECK(mWatcher.Config() == nullptr);
  Update("8");
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  Poll();
  CHECK(mWatcher.Config() != nullptr);
  CHECK_EQUAL(8U, mWatcher.Config()->mVersion);
  CHECK(mWatcher.ConfigAsOf() == mClock.Now());
}

// Guards against a node that takes the record for one of a later era, of which
// it has read an older copy.
TEST(RestoredWatcher, WaitsAgainIfTheStoreReturnsDuringTheWait)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  Poll();
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  mStore.Restore(mStore.Save());
  Poll();
  CHECK(mWatcher.Config() == nullptr);
  mClock.Advance(milliseconds(2400));
  Poll();
  CHECK(mWatcher.Config() != nullptr);
}

// Guards against a node that goes on refusing requests after its wait, because
// the watch that it waits in began before.
TEST(RestoredWatcher, ReadsAgainAtTheEndOfItsWait)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  Poll();
  mClock.Advance(milliseconds(2250));
  mWatcher.PollConfig(Duration::zero());
  CHECK(mStore.mLastWatchTimeout <= milliseconds(50));
}

// Guards against the record of an earlier era that a copy still has.
TEST(RestoredWatcher, DoesNotTrustTheRecordOfAnEarlierEra)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  mStore.Restore(mStore.Save());
  Poll();
  CHECK(mWatcher.Config() == nullptr);
  CHECK_EQUAL(0U, mWatcher.CompleteEra());
}

// Guards against a node that starts while the record can't be read, and takes
// that for a complete era.
TEST(RestoredWatcher, WaitsIfTheRecordCannotBeRead)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  mStore.mBeforeGet = [&] { mStore.mNextReadFault = StoreFault::Unavailable; };
  mWatcher.PollConfig(Duration::zero());
  CHECK(mWatcher.Config() == nullptr);
}

// Guards against a node that never learns the configuration because its second
// list failed.
TEST(RestoredWatcher, StartsAgainIfTheListAfterTheRecordFails)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  mStore.mAfterGet = [&] { mStore.mNextReadFault = StoreFault::Unavailable; };
  mWatcher.PollConfig(Duration::zero());
  CHECK(mWatcher.Config() == nullptr);
  mStore.mAfterGet = nullptr;
  mWatcher.PollConfig(Duration::zero());
  CHECK(mWatcher.Config() != nullptr);
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
}

// Guards against a store that returns within the first list, so that the next
// one is trusted.
TEST(RestoredWatcher, WaitsIfTheStoreReturnsWithinTheFirstList)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  mStore.mNextReadFault = StoreFault::HistoryGone;
  mWatcher.PollConfig(Duration::zero());
  CHECK(mWatcher.Config() == nullptr);
  CHECK(mWatcher.ConfigAsOf() == TimePoint{});
}

// Guards against a store that returns between the record and the list after it.
TEST(RestoredWatcher, WaitsIfTheStoreReturnsAfterTheRecordWasRead)
{
  Create("config/main", "7");
  mStore.Restore(mStore.Save());
  CHECK(RecordCompleteEra(mStore, 1).has_value());
  const FakePlatform::Copy copy = mStore.Save();
  Update("8");
  mStore.mAfterGet = [&] { mStore.Restore(copy); };
  mWatcher.PollConfig(Duration::zero());
  CHECK(mWatcher.Config() == nullptr);
}

TEST_GROUP(RestoredLease)
{
  ManualClock mClock;
  FakePlatform mStore;
  LeaseClient mA{ "a", mStore, mClock, seconds(3) };
  LeaseClient mB{ "b", mStore, mClock, seconds(3) };
  LeaseState mStateA;
  LeaseState mStateB;

  void StepA()
  {
    mA.Step("planner", LeaseRole::Preferred, 0, mStateA);
  }
  void StepB()
  {
    mB.Step("planner", LeaseRole::Preferred, 0, mStateB);
  }
  bool HoldsA() const
  {
    return HoldsLease(mStateA, mClock.Now());
  }
  bool HoldsB() const
  {
    return HoldsLease(mStateB, mClock.Now());
  }
  /// Lets time pass until a takes the lease, with b out of reach.
  void TakeA()
  {
    for (int i = 0; i < 10 && !HoldsA(); ++i) {
      mClock.Advance(seconds(1));
      StepA();
    }
    CHECK(HoldsA());
  }
};

// Guards against two holders with one fencing number, and against orders that
// are refused as they have a lower one than the orders of a lost holder.
TEST(RestoredLease, RaisesTheEpochAboveThoseOfALostHolder)
{
  const FakePlatform::Copy copy = mStore.Save();
  mClock.Advance(seconds(4)); // b's clock is ahead of a's.
  StepB();
  CHECK(HoldsB());
  mStore.Restore(copy);
  mClock.Advance(-seconds(4));
  StepA();
  CHECK(HoldsA());
  CHECK(mStateA.mLease.mEpoch > mStateB.mLease.mEpoch);
}

// Guards against a holder that goes on with an older epoch of its own, which
// the store has brought back.
TEST(RestoredLease, EndsTheHoldOfARestoredLease)
{
  StepA();
  CHECK(HoldsA());
  const FakePlatform::Copy copy = mStore.Save();
  mClock.Advance(seconds(4));
  TakeA();
  const uint64_t epoch = mStateA.mLease.mEpoch;
  mStore.Restore(copy);
  mClock.Advance(seconds(2));
  StepA();
  StepA();
  CHECK(!HoldsA());
  TakeA();
  CHECK(mStateA.mLease.mEpoch > epoch);
}

// Guards against the same when the response to a renewal was lost.
TEST(RestoredLease, EndsTheHoldWhenALostRenewalIsNotInTheStore)
{
  StepA();
  const FakePlatform::Copy copy = mStore.Save();
  mClock.Advance(seconds(4));
  TakeA();
  const uint64_t epoch = mStateA.mLease.mEpoch;
  mClock.Advance(seconds(2));
  mStore.mNextWriteFault = StoreFault::ResponseLost;
  StepA();
  mStore.Restore(copy);
  StepA();
  CHECK(!HoldsA() || mStateA.mLease.mEpoch >= epoch);
  TakeA();
  CHECK(mStateA.mLease.mEpoch > epoch);
}

// Guards against a node that is missing in the roster after a return, and one
// that overwrites the entry of another process by a condition used again.
TEST(StoreEra, WritesTheEntryOfANodeAgain)
{
  FakePlatform platform;
  FeedCache feeds(mClock);
  RelayedPlatform relay({ platform, feeds, nullptr, mMetrics, mClock });
  const RosterEntry self{ "n1", "a", { "10.0.0.1", 7 }, "token", 1 };
  TokenSet tokens(self.mToken);
  Registrar registrar(self,
                      { tokens,
                        relay,
                        [](const auto&, TimePoint) {},
                        [](const RosterEntry&) { return true; },
                        mClock });
  const FakePlatform::Copy copy = platform.Save();
  registrar.SyncRoster();
  platform.Restore(copy);
  registrar.SyncRoster();
  registrar.SyncRoster();
  CHECK(platform.Get("peers/n1", CallPriority::Config).has_value());
}
