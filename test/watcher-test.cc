#include "manualclock.h"
#include "watchedstore.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Watcher)
{
  ManualClock mClock;
  FakeStore mStore;
  FleetWatcher mWatcher{
    mStore, { "vms/", "config/", "config/main", ReadVm, ReadConfig }, mClock
  };

  void PollVms()
  {
    mWatcher.PollVms(Duration::zero());
  }

  bool IsListed(const char* aId) const
  {
    return mWatcher.Vms()->contains(aId);
  }
};

TEST(Watcher, IgnoresALowerConfigurationVersion)
{
  CHECK(mWatcher.Config() == nullptr);
  mStore.mValues["config/main"] = "7";
  mWatcher.PollConfig(Duration::zero());
  mStore.mValues["config/main"] = "5";
  mWatcher.PollConfig(Duration::zero());
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
}

TEST(Watcher, KeepsTheLastReadableConfiguration)
{
  mStore.mValues["config/main"] = "7";
  mWatcher.PollConfig(Duration::zero());
  mStore.mValues["config/main"] = "bad";
  mWatcher.PollConfig(Duration::zero());
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
}

TEST(Watcher, ConfigIsCurrentAsOfTheTimeOfTheRequest)
{
  const TimePoint sentAt = mClock.Now();
  mWatcher.PollConfig(Duration::zero());
  CHECK(sentAt == mWatcher.ConfigAsOf());
  mClock.Advance(seconds(3));
  mStore.mDown = true;
  mWatcher.PollConfig(Duration::zero());
  CHECK(sentAt == mWatcher.ConfigAsOf());
}

TEST(Watcher, ListsAgainWhenTheHistoryIsGone)
{
  mStore.mValues = { { "vms/1", "live" }, { "vms/2", "live" } };
  PollVms();
  mStore.mValues.erase("vms/1");
  mStore.mHistoryGone = true;
  PollVms();
  CHECK_EQUAL(2, mStore.mLists);
  CHECK(!IsListed("1"));
  CHECK(IsListed("2"));
}

// Guards against a change that is lost for good because applying it ended with
// an exception.
TEST(Watcher, ListsAgainWhenAChangeCouldNotBeApplied)
{
  PollVms();
  mStore.mValues = { { "vms/1", "throws" }, { "vms/2", "live" } };
  CHECK_THROWS(std::runtime_error, PollVms());
  mStore.mValues["vms/1"] = "bad";
  mStore.mUnchanged = true;
  PollVms();
  CHECK(IsListed("2"));
  CHECK_EQUAL(2, mStore.mLists);
}

// Guards against a configuration that is lost in the same way.
TEST(Watcher, ListsTheConfigurationAgainWhenItCouldNotBeApplied)
{
  mStore.mValues["config/main"] = "7";
  mWatcher.PollConfig(Duration::zero());
  mStore.mValues["config/main"] = "throws";
  CHECK_THROWS(std::invalid_argument, mWatcher.PollConfig(Duration::zero()));
  mStore.mValues["config/main"] = "8";
  mStore.mUnchanged = true;
  mWatcher.PollConfig(Duration::zero());
  CHECK_EQUAL(8U, mWatcher.Config()->mVersion);
}

TEST(Watcher, IgnoresAnUnreadableEntryAndKeepsOthers)
{
  mStore.mValues = { { "vms/1", "bad" }, { "vms/2", "live" } };
  PollVms();
  CHECK(!IsListed("1"));
  CHECK(IsListed("2"));
}

// The platform restores entries that expired while the store was unavailable
// within two seconds.
TEST(Watcher, KeepsEntriesThatExpiredWhileTheStoreWasDown)
{
  mStore.mValues = { { "vms/1", "live" }, { "vms/2", "leaving" } };
  PollVms();
  mStore.mDown = true;
  PollVms();
  mStore.mDown = false;
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1", "vms/2" };
  PollVms();
  CHECK(IsListed("1"));
  CHECK(!IsListed("2"));
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(3));
  CHECK(mWatcher.IsSettled());
  PollVms();
  CHECK(!IsListed("1"));
}

// Guards against new work for a target that has left, as its entry went shortly
// after the store was available again and seemed to have expired.
TEST(Watcher, RemovesAnEntryInTimeThatGoesAfterTheStoreIsBack)
{
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  mStore.mDown = true;
  PollVms();
  mStore.mDown = false;
  PollVms();
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1" };
  PollVms();
  CHECK(IsListed("1"));
  mClock.Advance(milliseconds(1500));
  CHECK(!mWatcher.IsSettled());
  PollVms();
  CHECK(!IsListed("1"));
}

TEST(Watcher, RemovesADeletedEntryAtOnceWhileTheStoreIsUp)
{
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  mClock.Advance(seconds(10));
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1" };
  PollVms();
  CHECK(!IsListed("1"));
}

// Guards against a planner that acquires the lease while its watched list is
// unavailable: it listed the VMs itself, treated VMs with expired entries as
// gone and, once they were listed again, ordered them to join other groups.
TEST(Watcher, IsNotSettledWhileTheListIsUnavailable)
{
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  CHECK(mWatcher.IsSettled());
  mStore.mDown = true;
  PollVms();
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(60));
  CHECK(!mWatcher.IsSettled());
}

// A list relayed by another node describes the store at an earlier time. A
// planner with a new lease must not treat it as current when it arrives.
TEST(Watcher, AccountsForTheAgeOfARelayedList)
{
  mClock.Advance(seconds(60));
  mStore.mAge = milliseconds(900);
  PollVms();
  CHECK(mClock.Now() - milliseconds(900) == mWatcher.VmsAsOf());
}

// Large fleet: guards against a copy of the whole list, and of all that is
// derived from it, for each watch that ends without a change.
TEST(Watcher, KeepsTheListIfNothingHasChanged)
{
  mStore.mValues["vms/i-1"] = "live";
  PollVms();
  const FleetVmsPtr before = mWatcher.Vms();
  const TimePoint asOf = mWatcher.VmsAsOf();
  mStore.mUnchanged = true;
  mClock.Advance(seconds(1));
  PollVms();
  CHECK(before == mWatcher.Vms());
  CHECK(mWatcher.VmsAsOf() > asOf);
  mStore.mUnchanged = false;
  mStore.mValues["vms/i-1"] = "leaving";
  PollVms();
  CHECK(before != mWatcher.Vms());
}
