#include "fakeplatform.h"
#include "fleet/watcher.h"
#include "manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

Result<FleetVm>
ReadVm(const Object& aObject)
{
  if (aObject.mValue == "bad") {
    return Failure{ Error::ReplyInvalid, "bad", "" };
  }
  FleetVm vm;
  vm.mId = aObject.mKey.substr(4);
  vm.mState = aObject.mValue == "leaving" ? VmState::Leaving : VmState::Live;
  return vm;
}

Result<FleetConfig>
ReadConfig(const Object& aObject)
{
  if (aObject.mValue == "bad") {
    return Failure{ Error::ConfigInvalid, "bad", "" };
  }
  FleetConfig config;
  config.mVersion = std::stoull(aObject.mValue);
  return config;
}

/// A watch of the fake lists what is there; deletions are scripted.
class Store final : public Platform
{
public:
  Result<Object> Get(std::string_view, CallClass) override { return Down(); }
  Result<Listing> List(std::string_view aPrefix, CallClass) override
  {
    ++mLists;
    return mDown ? Result<Listing>(Down()) : Read(aPrefix);
  }
  Result<uint64_t> Create(std::string_view,
                          std::string_view,
                          CallClass) override
  {
    return Down();
  }
  Result<uint64_t> Update(std::string_view,
                          std::string_view,
                          uint64_t,
                          CallClass) override
  {
    return Down();
  }
  Result<void> Delete(std::string_view, uint64_t, CallClass) override
  {
    return Down();
  }
  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t,
                        milliseconds) override
  {
    if (mDown) {
      return Down();
    }
    if (std::exchange(mHistoryGone, false)) {
      return Failure{ Error::StoreHistoryGone, "", "" };
    }
    Listing listing = Read(aPrefix);
    listing.mDeleted = std::exchange(mDeleted, {});
    return listing;
  }
  Result<VmListing> ListVms(uint64_t) override { return Down(); }

  std::map<std::string, std::string> mValues;
  std::vector<std::string> mDeleted;
  Duration mAge{}; ///< of what is listed
  bool mDown = false;
  bool mHistoryGone = false;
  int mLists = 0;

private:
  static Failure Down() { return { Error::StoreUnavailable, "down", "" }; }

  Listing Read(std::string_view aPrefix) const
  {
    Listing listing;
    listing.mRevision = 1;
    listing.mAge = mAge;
    for (const auto& [key, value] : mValues) {
      if (key.starts_with(aPrefix)) {
        listing.mObjects.push_back({ key, 1, value });
      }
    }
    return listing;
  }
};

} // namespace

TEST_GROUP(Watcher)
{
  ManualClock mClock;
  Store mStore;
  FleetWatcher mWatcher{
    mStore, { "vms/", "config/", "config/main", ReadVm, ReadConfig }, mClock
  };

  void StepVms()
  {
    mWatcher.StepVms(Duration::zero());
  }

  bool Knows(const char* aId) const
  {
    return mWatcher.Vms()->contains(aId);
  }
};

TEST(Watcher, NeverGoesBackToALowerVersion)
{
  CHECK(mWatcher.Config() == nullptr);
  mStore.mValues["config/main"] = "7";
  mWatcher.StepConfig(Duration::zero());
  mStore.mValues["config/main"] = "5";
  mWatcher.StepConfig(Duration::zero());
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
}

TEST(Watcher, KeepsTheLastConfigurationThatCouldBeRead)
{
  mStore.mValues["config/main"] = "7";
  mWatcher.StepConfig(Duration::zero());
  mStore.mValues["config/main"] = "bad";
  mWatcher.StepConfig(Duration::zero());
  CHECK_EQUAL(7U, mWatcher.Config()->mVersion);
}

TEST(Watcher, ProvesFreshnessFromWhenTheQuestionWasSent)
{
  const TimePoint asked = mClock.Now();
  mWatcher.StepConfig(Duration::zero());
  CHECK(asked == mWatcher.ConfigProof());
  mClock.Advance(seconds(3));
  mStore.mDown = true;
  mWatcher.StepConfig(Duration::zero());
  CHECK(asked == mWatcher.ConfigProof());
}

TEST(Watcher, ListsAnewWhenTheHistoryIsGone)
{
  mStore.mValues = { { "vms/1", "live" }, { "vms/2", "live" } };
  StepVms();
  mStore.mValues.erase("vms/1");
  mStore.mHistoryGone = true;
  StepVms();
  CHECK_EQUAL(2, mStore.mLists);
  CHECK(!Knows("1"));
  CHECK(Knows("2"));
}

TEST(Watcher, AnUnreadableEntryNamesNoVmAndHarmsNoOther)
{
  mStore.mValues = { { "vms/1", "bad" }, { "vms/2", "live" } };
  StepVms();
  CHECK(!Knows("1"));
  CHECK(Knows("2"));
}

// Entries that lapsed while the store was away come back within two seconds.
TEST(Watcher, WaitsForEntriesThatLapsedWhileTheStoreWasAway)
{
  mStore.mValues = { { "vms/1", "live" }, { "vms/2", "leaving" } };
  StepVms();
  mStore.mDown = true;
  StepVms();
  mStore.mDown = false;
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1", "vms/2" };
  StepVms();
  CHECK(Knows("1"));
  CHECK(!Knows("2"));
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(3));
  CHECK(mWatcher.IsSettled());
  StepVms();
  CHECK(!Knows("1"));
}

TEST(Watcher, DropsAnEntryAtOnceWhileTheStoreIsThere)
{
  mStore.mValues = { { "vms/1", "live" } };
  StepVms();
  mClock.Advance(seconds(10));
  mStore.mValues.clear();
  mStore.mDeleted = { "vms/1" };
  StepVms();
  CHECK(!Knows("1"));
}

// A planner that got the lease before its list of VMs was back listed them by
// itself, took those that had lapsed for gone and had their VMs join anew.
TEST(Watcher, IsNotSettledWhileTheListCannotBeHad)
{
  mStore.mValues = { { "vms/1", "live" } };
  StepVms();
  CHECK(mWatcher.IsSettled());
  mStore.mDown = true;
  StepVms();
  CHECK(!mWatcher.IsSettled());
  mClock.Advance(seconds(60));
  CHECK(!mWatcher.IsSettled());
}

// A planner that has just got its lease must not take an answer that another
// node passed on for the state of the store at the time that it came.
TEST(Watcher, TellsSinceWhenAPassedOnListIsOld)
{
  mClock.Advance(seconds(60));
  mStore.mAge = milliseconds(900);
  StepVms();
  CHECK(mClock.Now() - milliseconds(900) == mWatcher.VmsReadAt());
}
