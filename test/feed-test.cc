#include "listing.h"
#include "manualclock.h"
#include "relay/feedcache.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Feed)
{
  const TimePoint mNow{ seconds(100) };
  Feed mFeed;
};

TEST(Feed, ReturnsOnlyChangesAfterRevision)
{
  ApplySnapshot(
    mFeed, ListingOf(10, { { "a/1", 4, "x" }, { "a/2", 9, "y" } }), mNow);
  ApplyChanges(mFeed, ListingOf(12, { { "a/1", 12, "z" } }), mNow);
  const std::optional<Listing> changes = ChangesSince(mFeed, 10);
  CHECK(changes.has_value());
  CHECK_EQUAL(1U, changes->mObjects.size());
  STRCMP_EQUAL("z", changes->mObjects[0].mValue.c_str());
  CHECK_EQUAL(12U, changes->mRevision);
}

TEST(Feed, ReportsObjectsMissingFromSnapshotAsDeleted)
{
  ApplySnapshot(
    mFeed, ListingOf(10, { { "a/1", 4, "x" }, { "a/2", 9, "y" } }), mNow);
  ApplySnapshot(mFeed, ListingOf(20, { { "a/2", 9, "y" } }), mNow);
  const std::optional<Listing> changes = ChangesSince(mFeed, 10);
  CHECK(changes.has_value());
  CHECK_EQUAL(1U, changes->mDeleted.size());
  STRCMP_EQUAL("a/1", changes->mDeleted[0].c_str());
}

// Guards against a follower that keeps an object forever: it appeared and went
// between two listings of the upstream, but the follower had read it elsewhere.
TEST(Feed, HasNoChangesForAFollowerWithinTheGapBeforeASnapshot)
{
  ApplySnapshot(mFeed, ListingOf(10, {}), mNow);
  ApplySnapshot(mFeed, ListingOf(20, {}), mNow);
  CHECK(ChangesSince(mFeed, 10).has_value());
  CHECK(!ChangesSince(mFeed, 15).has_value());
  CHECK(ChangesSince(mFeed, 20).has_value());
  ApplySnapshot(mFeed, ListingOf(30, {}), mNow);
  CHECK(!ChangesSince(mFeed, 15).has_value());
  CHECK(!ChangesSince(mFeed, 25).has_value());
  CHECK(ChangesSince(mFeed, 30).has_value());
}

// Guards against an object that is back for good: a watch that began before a
// listing ends after it, and has the object from before its deletion.
TEST(Feed, IgnoresChangesThatAListingHasOvertaken)
{
  ApplySnapshot(mFeed, ListingOf(10, { { "a/1", 4, "x" } }), mNow);
  ApplySnapshot(mFeed, ListingOf(20, {}), mNow);
  ApplyChanges(mFeed, ListingOf(15, { { "a/1", 15, "y" } }), mNow);
  CHECK(SnapshotOf(mFeed).mObjects.empty());
  CHECK_EQUAL(20U, mFeed.mRevision);
}

TEST(Feed, DropsDeletionOfRecreatedObject)
{
  ApplySnapshot(mFeed, ListingOf(10, { { "a/1", 4, "x" } }), mNow);
  Listing deletion;
  deletion.mRevision = 11;
  deletion.mDeleted = { "a/1" };
  ApplyChanges(mFeed, deletion, mNow);
  ApplyChanges(mFeed, ListingOf(12, { { "a/1", 12, "x" } }), mNow);
  const std::optional<Listing> changes = ChangesSince(mFeed, 10);
  CHECK(changes->mDeleted.empty());
  CHECK_EQUAL(1U, changes->mObjects.size());
}

TEST(Feed, HasNoChangesBeforeItsFirstRevision)
{
  ApplySnapshot(mFeed, ListingOf(10, {}), mNow);
  CHECK(!ChangesSince(mFeed, 9).has_value());
  CHECK(ChangesSince(mFeed, 10).has_value());
}

TEST(Feed, NeverReturnsRevisionBelowTheFollowers)
{
  ApplySnapshot(mFeed, ListingOf(10, { { "a/1", 4, "x" } }), mNow);
  const std::optional<Listing> changes = ChangesSince(mFeed, 15);
  CHECK(changes->mObjects.empty());
  CHECK_EQUAL(15U, changes->mRevision);
}

// The planner lists the VMs in parallel to the watch, so an older listing may
// arrive after newer changes.
TEST(Feed, IgnoresOlderSnapshot)
{
  ApplySnapshot(mFeed, ListingOf(10, { { "a/1", 4, "x" } }), mNow);
  ApplyChanges(
    mFeed, ListingOf(12, { { "a/1", 11, "y" }, { "a/2", 12, "z" } }), mNow);
  ApplySnapshot(mFeed, ListingOf(10, { { "a/1", 4, "x" } }), mNow);
  const std::optional<Listing> changes = ChangesSince(mFeed, 10);
  CHECK(changes->mDeleted.empty());
  CHECK_EQUAL(2U, changes->mObjects.size());
  STRCMP_EQUAL("y", changes->mObjects[0].mValue.c_str());
}

TEST_GROUP(FeedCache)
{
  ManualClock mClock;
  FeedCache mFeeds{ mClock };
};

TEST(FeedCache, ReportsAgeOfItsData)
{
  const TimePoint confirmedAt = mClock.Now();
  mFeeds.Update("a/", ListingOf(10, {}), true, confirmedAt);
  mClock.Advance(milliseconds(700));
  const Result<FeedResponse> response =
    mFeeds.WaitForChanges("a/", 10, mClock.Now());
  CHECK_EQUAL(700, ToMillis(response.value().mAge));
}

TEST(FeedCache, FailsForUnavailableAndUnknownFeeds)
{
  CHECK(Error::StoreUnavailable ==
        mFeeds.WaitForChanges("a/", 0, mClock.Now()).error().mError);
  mFeeds.Update("a/", ListingOf(10, {}), true, mClock.Now());
  mFeeds.MarkUnavailable("a/", mClock.Now());
  CHECK(Error::StoreUnavailable ==
        mFeeds.WaitForChanges("a/", 10, mClock.Now()).error().mError);
  mFeeds.Update("a/", ListingOf(11, {}), false, mClock.Now());
  CHECK(mFeeds.WaitForChanges("a/", 10, mClock.Now()).has_value());
}
