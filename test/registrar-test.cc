#include "fakeplatform.h"
#include "manualclock.h"
#include "relay/registrar.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Registrar)
{
  ManualClock mClock;
  FakePlatform mStore;
  Metrics mMetrics;
  FeedCache mFeeds{ mClock };
  RelayedPlatform mRelay{ { mStore, mFeeds, nullptr, mMetrics, mClock } };
  const RosterEntry mSelf{ "n1", "a", { "10.0.0.1", 7 }, "token", 1 };
  TokenSet mTokens{ mSelf.mToken };
  std::vector<RosterEntry> mPeers;
  std::set<std::string> mGone; ///< nodes that do not answer
  Registrar mRegistrar{ mSelf, Dependencies() };

  Registrar::Dependencies Dependencies()
  {
    return { mTokens,
             mRelay,
             [this](std::vector<RosterEntry> aPeers, TimePoint) {
               mPeers = std::move(aPeers);
             },
             [this](const RosterEntry& aNode) {
               return !mGone.contains(aNode.mId);
             },
             mClock };
  }

  std::string Stored()
  {
    const Result<Object> object = mStore.Get("peers/n1", CallPriority::Config);
    return object ? object.value().mValue : "";
  }

  void Store(const RosterEntry& aEntry)
  {
    CHECK(
      mStore
        .Create("peers/n1", SerializeRosterEntry(aEntry), CallPriority::Config)
        .has_value());
  }
};

TEST(Registrar, CreatesAndDeletesItsEntry)
{
  mRegistrar.SyncRoster();
  STRCMP_EQUAL(SerializeRosterEntry(mSelf).c_str(), Stored().c_str());
  mRegistrar.Deregister();
  STRCMP_EQUAL("", Stored().c_str());
  mRegistrar.SyncRoster();
  STRCMP_EQUAL("", Stored().c_str());
}

TEST(Registrar, KeepsEntryAndTokenFromBeforeRestart)
{
  const RosterEntry before{ "n1", "a", { "10.0.0.1", 7 }, "old", 1 };
  Store(before);
  mRegistrar.SyncRoster();
  STRCMP_EQUAL(SerializeRosterEntry(before).c_str(), Stored().c_str());
  CHECK(mTokens.Accepts("Bearer old"));
  CHECK(!mTokens.Accepts("Bearer token"));
}

TEST(Registrar, UpdatesEntryWithAnotherAddress)
{
  Store({ "n1", "a", { "10.0.0.9", 7 }, "old", 1 });
  mRegistrar.SyncRoster();
  STRCMP_EQUAL(SerializeRosterEntry(mSelf).c_str(), Stored().c_str());
}

// Guards against every node that lists the entries anew in the store after a
// read has failed.
TEST(Registrar, ContinuesFromItsRevisionAfterAFailedRead)
{
  mRegistrar.SyncRoster();
  mRegistrar.SyncRoster();
  const size_t lists = mStore.mLists;
  mStore.mNextReadFault = StoreFault::Unavailable;
  mRegistrar.SyncRoster();
  mRegistrar.SyncRoster();
  CHECK_EQUAL(lists, mStore.mLists);
}

// Guards against nodes that can't pass requests on to each other, as their
// entries lose the callers' address, and against an entry that is not updated.
TEST(Registrar, PublishesTheAddressForCallersAndReportsThoseOfOthers)
{
  const Endpoint callers{ "10.0.0.2", 80 };
  const RosterEntry other{ "n2", "b", { "10.0.0.2", 7 }, "t2", 1, callers };
  mStore.Put("peers/n2", SerializeRosterEntry(other));
  mStore.Put("peers/n3", R"({"address":"10.0.0.3:7","callers":"nowhere"})");
  Store({ "n1", "a", { "10.0.0.1", 7 }, "old", 1 });
  RosterEntry self = mSelf;
  self.mCallers = { "10.0.0.1", 80 };
  Registrar registrar(self, Dependencies());
  registrar.SyncRoster();
  STRCMP_EQUAL(SerializeRosterEntry(self).c_str(), Stored().c_str());
  CHECK_EQUAL(1U, mPeers.size());
  STRCMP_EQUAL("n2", mPeers[0].mId.c_str());
  CHECK(callers == mPeers[0].mCallers);
}

TEST(Registrar, RetriesFailedCreate)
{
  mStore.mNextWriteFault = StoreFault::Unavailable;
  mRegistrar.SyncRoster();
  STRCMP_EQUAL("", Stored().c_str());
  mRegistrar.SyncRoster();
  STRCMP_EQUAL(SerializeRosterEntry(mSelf).c_str(), Stored().c_str());
}

/// Some of the other nodes do not answer.
TEST_GROUP_BASE(RegistrarGone, TEST_GROUP_CppUTestGroupRegistrar){
  /// Stores the entries of two more nodes.
  void setup() override{ for (const char* it
                              : { "n2", "n3" }){
    mStore.Put("peers/" + std::string(it),
               SerializeRosterEntry({ it, "a", { "10.0.0.2", 7 }, "t", 1 }));
}
}

bool
HasEntry(const char* aId) const
{
  return mStore.VersionOf("peers/" + std::string(aId)) != 0;
}

void
RunFor(Duration aTime)
{
  for (const TimePoint end = mClock.Now() + aTime; mClock.Now() < end;) {
    mRegistrar.SyncRoster();
    mClock.Advance(milliseconds(1200));
  }
}
}
;

// Guards against entries of nodes that are gone for good, which are counted for
// ever as upstreams, ranks and callers' hosts.
TEST(RegistrarGone, DeletesTheEntryOfANodeThatIsGone)
{
  mGone = { "n2" };
  RunFor(seconds(40));
  CHECK(!HasEntry("n2"));
  CHECK(HasEntry("n3"));
  CHECK_EQUAL(1U, mPeers.size());
}

// Guards against a node that only this one can't reach, and that is forgotten.
TEST(RegistrarGone, KeepsTheEntryOfANodeThatRemovesTheDoubt)
{
  FeedCache feeds(mClock);
  RelayedPlatform relay{
    { mStore,
      feeds,
      [](const RosterEntry&, std::string_view, uint64_t, milliseconds) {
        return Result<FeedResponse>(
          Failure{ Error::PeerUnavailable, "cut off", "" });
      },
      mMetrics,
      mClock }
  };
  TokenSet tokens{ "t" };
  Registrar other({ "n2", "a", { "10.0.0.2", 7 }, "t", 1 },
                  { tokens,
                    relay,
                    [](const auto&, TimePoint) {},
                    [](const RosterEntry&) { return true; },
                    mClock });
  mGone = { "n2" };
  for (int n = 0; n < 60; ++n) {
    RunFor(milliseconds(1200));
    other.SyncRoster();
    CHECK(HasEntry("n2"));
  }
  STRCMP_EQUAL(
    SerializeRosterEntry({ "n2", "a", { "10.0.0.2", 7 }, "t", 1 }).c_str(),
    mStore.Get("peers/n2", CallPriority::Config).value().mValue.c_str());
}

// Guards against a node that is cut off from the others and forgets them all.
TEST(RegistrarGone, WritesNothingWhileNobodyAnswers)
{
  for (int n = 4; n < 10; ++n) {
    mStore.Put("peers/n" + std::to_string(n),
               SerializeRosterEntry(
                 { "n" + std::to_string(n), "a", { "10.0.0.2", 7 }, "t", 1 }));
    mGone.insert("n" + std::to_string(n));
  }
  mGone.insert({ "n2", "n3" });
  RunFor(seconds(60));
  CHECK_EQUAL(8U, mPeers.size());
}

// Guards against a node that takes itself for cut off for good, as it is the
// last one.
TEST(RegistrarGone, ForgetsAllOthersIfItHasCalledThemAll)
{
  for (int n = 4; n < 8; ++n) {
    const std::string id = "n" + std::to_string(n);
    mStore.Put("peers/" + id,
               SerializeRosterEntry({ id, "a", { "10.0.0.2", 7 }, "t", 1 }));
    mGone.insert(id);
  }
  mGone.insert({ "n2", "n3" });
  RunFor(seconds(60));
  CHECK_EQUAL(0U, mPeers.size());
}

// Guards against a node that was forgotten while it was paused, and stays
// unknown to the others.
TEST(RegistrarGone, WritesItsOwnEntryAnew)
{
  RunFor(seconds(2));
  mStore.Remove("peers/n1");
  RunFor(seconds(3));
  CHECK(HasEntry("n1"));
}
