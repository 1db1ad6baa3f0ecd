#include "fakeplatform.h"
#include "manualclock.h"
#include "relay/registrar.h"

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
  Registrar mRegistrar{ mSelf,
                        mTokens,
                        mRelay,
                        [this](std::vector<RosterEntry> aPeers) {
                          mPeers = std::move(aPeers);
                        } };

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
  Registrar registrar(
    self, mTokens, mRelay, [this](std::vector<RosterEntry> aPeers) {
      mPeers = std::move(aPeers);
    });
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
