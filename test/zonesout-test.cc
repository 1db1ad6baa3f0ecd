#include "fakeplatform.h"
#include "fleet/targetlist.h"
#include "fleet/zonesout.h"
#include "manualclock.h"
#include "plannerworld.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr const char* kPrefix = "zones/";

FleetVm
PlainVm(const std::string& aId, const std::string& aZone)
{
  FleetVm vm;
  vm.mId = aId;
  vm.mService = "ledger";
  vm.mZone = aZone;
  return vm;
}

FleetVm
Member(const std::string& aId, const std::string& aZone, uint32_t aRank)
{
  FleetVm vm = PlainVm(aId, aZone);
  vm.mService = "drafting";
  vm.mDomain = "d";
  vm.mMembership = { { "g1", 1 }, aRank, MembershipPhase::Open, "small" };
  return vm;
}

FleetConfig
MakeConfig()
{
  FleetConfig config;
  config.mVersion = 1;
  config.mServices["ledger"] = { "ledger", std::nullopt, 0 };
  EngineSpec engine;
  engine.mModels = { { "small", 2, 1, 1, seconds(12), milliseconds(1100) } };
  config.mServices["drafting"] = { "drafting", engine, 0 };
  return config;
}

std::string
TargetIds(const FleetTargets& aTargets)
{
  std::string ids;
  for (const auto& [service, targets] : aTargets.mByService) {
    for (const FleetTarget& it : targets) {
      ids += it.mVmId + " ";
    }
  }
  return ids;
}

} // namespace

TEST_GROUP(ZonesOut)
{
  ManualClock mClock;
  FakePlatform mStore;
  ZoneFollower mFollower{ mStore, kPrefix, mClock };

  /// Polls once.
  /// @return the zones out of service, "?" if they are unknown
  std::string Poll()
  {
    mFollower.Poll();
    const ZonesOutPtr zones = mFollower.Zones();
    std::string names = zones == nullptr ? "?" : "";
    if (zones != nullptr) {
      for (const std::string& it : zones->mOut) {
        names += it + " ";
      }
    }
    return names;
  }
};

TEST(ZonesOut, AreUnknownUntilTheStoreHasAnswered)
{
  mStore.mNextReadFault = StoreFault::Unavailable;
  STRCMP_EQUAL("?", Poll().c_str());
  STRCMP_EQUAL("", Poll().c_str());
}

TEST(ZonesOut, FollowEntriesThatComeAndGo)
{
  STRCMP_EQUAL("", Poll().c_str());
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Put("zones/b", "{}");
  mStore.Put("zones/b", "unreadable");
  STRCMP_EQUAL("a b ", Poll().c_str());
  mStore.Remove("zones/a");
  STRCMP_EQUAL("b ", Poll().c_str());
  CHECK(BackSince(*mFollower.Zones(), "a") == mClock.Now());
  CHECK(BackSince(*mFollower.Zones(), "b") == TimePoint::min());
}

// Guards against VMs that state no zone and go out of service by an entry
// without a name.
TEST(ZonesOut, EntryWithoutANameCountsForNoZone)
{
  mStore.Put(kPrefix, "{}");
  STRCMP_EQUAL("", Poll().c_str());
}

TEST(ZonesOut, EntryThatIsTakenBackAtOnceLeavesTheZoneInService)
{
  STRCMP_EQUAL("", Poll().c_str());
  mStore.Put("zones/a", "{}");
  mStore.Remove("zones/a");
  STRCMP_EQUAL("", Poll().c_str());
}

// Guards against a node that misses both entries of a watch that was cut
// between them, after the store has dropped its history.
TEST(ZonesOut, AreListedAgainWhenTheHistoryIsGone)
{
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Remove("zones/a");
  mStore.Put("zones/b", "{}");
  mStore.ForgetHistory();
  STRCMP_EQUAL("b ", Poll().c_str());
}

// Guards against a node that the store turns away and that takes the lack of an
// answer for the lack of entries.
TEST(ZonesOut, StayWhileTheStoreIsUnavailable)
{
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  const TimePoint asOf = mFollower.AsOf();
  mClock.Advance(seconds(2));
  mStore.mNextReadFault = StoreFault::Unavailable;
  STRCMP_EQUAL("a ", Poll().c_str());
  CHECK(mFollower.AsOf() == asOf);
  STRCMP_EQUAL("a ", Poll().c_str());
  CHECK(mFollower.AsOf() == mClock.Now());
}

// Guards against a zone that comes back into service only because the store
// returned from a copy that is older than the zone's entry.
TEST(ZonesOut, StayWhenTheStoreReturnsFromAnOlderCopy)
{
  STRCMP_EQUAL("", Poll().c_str());
  const FakePlatform::Copy copy = mStore.Save();
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Restore(copy);
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Put("zones/a", "{}"); // written again
  mClock.Advance(kStoreRecoveryTime);
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Remove("zones/a");
  STRCMP_EQUAL("", Poll().c_str());
}

TEST(ZonesOut, ComeBackOnceARestoredStoreIsComplete)
{
  STRCMP_EQUAL("", Poll().c_str());
  const FakePlatform::Copy copy = mStore.Save();
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Restore(copy);
  STRCMP_EQUAL("a ", Poll().c_str());
  mClock.Advance(kStoreRecoveryTime);
  STRCMP_EQUAL("", Poll().c_str());
}

// Guards against a second return that goes unnoticed, as it comes while the
// entries are due to be listed again.
TEST(ZonesOut, StayWhenTheStoreReturnsASecondTime)
{
  STRCMP_EQUAL("", Poll().c_str());
  const FakePlatform::Copy copy = mStore.Save();
  mStore.Put("zones/a", "{}");
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Restore(copy);
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Put("zones/a", "{}"); // written again
  mClock.Advance(kStoreRecoveryTime);
  mStore.mNextReadFault = StoreFault::Unavailable;
  STRCMP_EQUAL("a ", Poll().c_str());
  mStore.Restore(copy);
  STRCMP_EQUAL("a ", Poll().c_str());
}

TEST(ZonesOut, TakeTargetsAndWholeGroupsAway)
{
  FleetVms vms;
  for (const FleetVm& it : { PlainVm("p1", "a"),
                             PlainVm("p2", "b"),
                             Member("h", "a", 0),
                             Member("m", "b", 1) }) {
    vms[it.mId] = it;
  }
  const FleetConfig config = MakeConfig();
  struct Row
  {
    std::set<std::string, std::less<>> mOut;
    const char* mTargets;
  };
  const std::vector<Row> table = {
    { {}, "h p1 p2 " },      { { "a" }, "p2 " },
    { { "b" }, "p1 " }, // a member is there
    { { "c" }, "h p1 p2 " }, { { "no such zone" }, "h p1 p2 " },
    { { "a", "b" }, "" },
  };
  for (const Row& it : table) {
    STRCMP_EQUAL(it.mTargets,
                 TargetIds(FindTargets(vms, config, { it.mOut, {} })).c_str());
  }
}

TEST(ZonesOut, PlannerFormsNothingInThem)
{
  PlannerWorld world;
  world.Add("d1", 9, "small");
  world.Add("d2", 9, "small");
  for (auto& [id, vm] : world.mVms) {
    vm.mZone = vm.mDomain == "d1" ? "a" : "b";
  }
  world.mZones.mOut = { "a" };
  world.Settle();
  const std::vector<std::string> out = world.OpenHeads("small");
  CHECK(!out.empty());
  for (const std::string& it : out) {
    CHECK_TEXT(it.starts_with("d2"), it.c_str());
  }
  world.mZones.mOut.clear();
  world.Settle();
  CHECK(world.OpenHeads("small").size() > out.size());
}

// Groups in the zone go on with their streams, and serve again at once when the
// zone is back.
TEST(ZonesOut, GroupsInThemAreKept)
{
  PlannerWorld world;
  world.Add("d1", 9, "small");
  world.Settle();
  const std::vector<std::string> heads = world.OpenHeads("small");
  CHECK(!heads.empty());
  world.mZones.mOut = { "a" };
  world.Settle();
  CHECK(heads == world.OpenHeads("small"));
}
