#include "manualclock.h"
#include "watchedstore.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(WatcherLapse)
{
  ManualClock mClock;
  FakeStore mStore;
  FleetWatcher mWatcher{
    mStore,
    { "vms/", "config/", "config/main", ReadVm, ReadConfig },
    mClock,
    milliseconds(3000)
  };

  void PollVms()
  {
    mWatcher.PollVms(Duration::zero());
  }

  /// Lists two VMs, one of which is leaving, and removes their entries.
  void RemoveEntries()
  {
    mStore.mValues = { { "vms/1", "live" }, { "vms/2", "leaving" } };
    PollVms();
    mStore.mValues.clear();
    mStore.mDeleted = { "vms/1", "vms/2" };
    PollVms();
  }

  bool IsLive(const char* aId) const
  {
    const FleetVmsPtr vms = mWatcher.Vms();
    const FleetVm* vm = FindVm(*vms, aId);
    return vm != nullptr && vm->mState == VmState::Live;
  }
};

// Guards against losing a VM that is cut off from the store only, against work
// for one that was leaving, and against work for any of them after the bound,
// also when the store doesn't respond any more.
TEST(WatcherLapse, AVmWithoutAnEntryGetsWorkForHalfTheBound)
{
  RemoveEntries();
  CHECK(IsLive("1"));
  CHECK(!mWatcher.Vms()->contains("2"));
  mStore.mDown = true;
  mClock.Advance(milliseconds(1499));
  CHECK(IsLive("1"));
  mClock.Advance(milliseconds(1));
  CHECK(!IsLive("1"));
  CHECK(mWatcher.Vms()->contains("1"));
  mClock.Advance(milliseconds(500));
  CHECK(!mWatcher.Vms()->contains("1"));
}

// Guards against a VM that is taken from the list after it was back.
TEST(WatcherLapse, AnEntryThatComesBackEndsTheLapse)
{
  RemoveEntries();
  mClock.Advance(milliseconds(1700));
  CHECK(!IsLive("1"));
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  mClock.Advance(seconds(10));
  CHECK(IsLive("1"));
}

// Guards against work after the bound on a node that learns late that the entry
// has gone.
TEST(WatcherLapse, NoLapseGoesBeyondTheBoundAfterTheListWasCurrent)
{
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  mClock.Advance(milliseconds(2800));
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1" };
  PollVms();
  CHECK(IsLive("1"));
  mClock.Advance(milliseconds(200));
  CHECK(!IsLive("1"));
}

// Guards against a second time for entries that are still missing after the
// platform had time to restore them.
TEST(WatcherLapse, EntriesThatExpiredWhileTheStoreWasDownGetNoMoreTime)
{
  mStore.mValues = { { "vms/1", "live" } };
  PollVms();
  mStore.mDown = true;
  PollVms();
  mStore.mDown = false;
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1" };
  PollVms();
  mClock.Advance(milliseconds(2200));
  CHECK(IsLive("1"));
  mClock.Advance(milliseconds(800));
  PollVms();
  CHECK(!mWatcher.Vms()->contains("1"));
}

// Guards against a new planner that lists the VMs itself and takes those
// without an entry for lost, whether the watched list shows that already or
// not.
TEST(WatcherLapse, ADirectListHasTheVmsThatAreKept)
{
  mStore.mValues = { { "vms/1", "live" }, { "vms/2", "live" } };
  PollVms();
  mStore.mValues.erase("vms/1");
  mStore.mDeleted = { "vms/1" };
  PollVms();
  mStore.mValues.erase("vms/2");
  const FleetVms vms = mWatcher.ReadVms().value();
  CHECK(IsLapsed(FindVm(vms, "1")));
  CHECK(IsLapsed(FindVm(vms, "2")));
  CHECK(!IsLapsed(FindVm(*mWatcher.Vms(), "2")));
  mClock.Advance(seconds(3));
  CHECK(mWatcher.ReadVms().value().empty());
}
