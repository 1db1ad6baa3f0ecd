#include "fleet/targetchoice.h"
#include "placement/suspects.h"
#include "plannerworld.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kStepInterval = milliseconds(40);
/// Interval of the probes of a suspected VM that responds.
constexpr auto kResponsiveProbeInterval = milliseconds(480);
/// How long entries are away when VMs lose the store for five seconds, and send
/// a report every 1.2 s.
constexpr auto kAway = milliseconds(2400);
constexpr auto kHalfBound = PlannerWorld::kLeaveBound / 2;

} // namespace

TEST_GROUP(Unlisted)
{
  PlannerWorld mWorld;
  TargetLoads mLoads;
  FleetConfig mConfig;
  std::vector<FleetOrder> mOrders; ///< of all steps of Run
  size_t mFewestTargets = 0;       ///< at any step of Run
  std::map<std::string, TimePoint> mProbedAt;

  void setup() override
  {
    mConfig.mServices[PlannerWorld::kService] = { PlannerWorld::kService,
                                                  mWorld.mEngine };
  }

  std::set<std::string> FindTargetIds() const
  {
    std::set<std::string> ids;
    const FleetTargets targets = FindTargets(mWorld.mVms, mConfig, {});
    for (const auto& [service, list] : targets.mByService) {
      for (const FleetTarget& it : list) {
        ids.insert(it.mVmId);
      }
    }
    return ids;
  }

  void ProbeSuspects()
  {
    for (const std::string& it : FindSuspects(
           mWorld.mState, mWorld.mEngine, mWorld.mVms, mLoads, mWorld.mNow)) {
      const VmSilence& silence = mWorld.mState.mVms[it].mSilence;
      const auto interval = IsInDoubt(silence, mWorld.mNow)
                              ? kProbeInterval
                              : kResponsiveProbeInterval;
      TimePoint& probedAt = mProbedAt[it];
      if (mWorld.mNow - probedAt >= interval) {
        probedAt = mWorld.mNow;
        mWorld.Probe(it);
      }
    }
  }

  /// Probes suspects and runs the planner for a time.
  void Run(Duration aFor)
  {
    mOrders.clear();
    mFewestTargets = FindTargetIds().size();
    const TimePoint end = mWorld.mNow + aFor;
    while (mWorld.mNow < end) {
      ProbeSuspects();
      for (FleetOrder& it : mWorld.Step(kStepInterval)) {
        mOrders.push_back(std::move(it));
      }
      mFewestTargets = std::min(mFewestTargets, FindTargetIds().size());
    }
  }

  size_t CountOrders(OrderKind aKind) const
  {
    return static_cast<size_t>(
      std::count_if(mOrders.begin(), mOrders.end(), [&](const auto& it) {
        return it.mKind == aKind;
      }));
  }

  bool WasOrdered(OrderKind aKind, const std::string& aVmId) const
  {
    return mWorld.FindOrder(mOrders, aKind, aVmId) != nullptr;
  }

  /// Runs the planner until the head's group is given up, at most two seconds.
  /// @return how long that took
  Duration RunUntilGivenUp(const std::string& aHead)
  {
    const TimePoint start = mWorld.mNow;
    while (mWorld.mNow < start + seconds(2) &&
           !mWorld.MembersOf(aHead).empty()) {
      Run(kStepInterval);
    }
    CHECK(mWorld.MembersOf(aHead).empty());
    return mWorld.mNow - start;
  }

  /// Forms one group of four in a domain of five.
  /// @return the members, the head first
  std::vector<std::string> FormOneGroup()
  {
    mWorld.Add("d0", 5, "big");
    mWorld.Settle();
    return mWorld.MembersOf(mWorld.OpenHeads("big").front());
  }
};

// Guards against giving up most groups, and all their streams, because an
// eighth of the VMs loses the store for some seconds and serves on.
TEST(Unlisted, AnEighthOfTheVmsMayLoseTheStore)
{
  for (const char* it : { "d0", "d1", "d2", "d3" }) {
    mWorld.Add(it, 19, "big");
  }
  mWorld.Settle();
  const std::set<std::string> targets = FindTargetIds();
  CHECK(targets.size() >= 16);
  std::vector<std::string> heads;
  std::vector<std::string> others;
  size_t n = 0;
  for (const auto& [id, vm] : mWorld.mVms) {
    if (n++ % 8 == 0) {
      (targets.contains(id) ? heads : others).push_back(id);
    }
  }
  CHECK(!heads.empty() && others.size() > 4);
  for (const std::vector<std::string>& list : { heads, others }) {
    for (const std::string& it : list) {
      mWorld.Unlist(it);
    }
  }
  Run(kHalfBound - milliseconds(100));
  CHECK(mOrders.empty());
  for (const std::string& it : heads) {
    mWorld.ListAgain(it);
  }
  Run(kAway - kHalfBound + milliseconds(100));
  CHECK(mOrders.empty());
  for (const std::string& it : others) {
    mWorld.ListAgain(it);
  }
  Run(seconds(5));
  CHECK(mOrders.empty());
  CHECK_EQUAL(targets.size(), mFewestTargets);
  CHECK(targets == FindTargetIds());
}

// Guards against requests to a head that leaves without notice, and against
// streams there that are cut while it still works.
TEST(Unlisted, AHeadThatLeavesWithoutNoticeIsClosedInTime)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[0]);
  Run(kHalfBound - kStepInterval);
  CHECK(mOrders.empty());
  CHECK(FindTargetIds().contains(members[0]));
  Run(2 * kStepInterval);
  CHECK(!FindTargetIds().contains(members[0]));
  CHECK(WasOrdered(OrderKind::Close, members[0]));
  CHECK_EQUAL(0U, CountOrders(OrderKind::Leave));
  Run(seconds(1));
  CHECK(!WasOrdered(OrderKind::Join, members[0]));
  const std::set<std::string> targets = FindTargetIds();
  CHECK_EQUAL(1U, targets.size());
  CHECK(!targets.contains(members[0]));
}

// Guards against a group that goes on with a member which has left.
TEST(Unlisted, AMemberThatLeavesWithoutNoticeIsReplacedBeforeItIsGone)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[2]);
  Run(PlannerWorld::kLeaveBound);
  CHECK(WasOrdered(OrderKind::Close, members[0]));
  CHECK(!WasOrdered(OrderKind::Join, members[2]));
  mWorld.mUnresponsive.insert(members[2]);
  Run(seconds(1));
  const std::vector<std::string> heads = mWorld.OpenHeads("big");
  CHECK_EQUAL(1U, heads.size());
  for (const std::string& it : mWorld.MembersOf(heads.front())) {
    CHECK(it != members[2]);
  }
}

// Guards against a dead VM whose group is kept because its entry has only just
// gone: calls that had no response before count as well.
TEST(Unlisted, ADeadVmThatWasSilentIsGivenUpAtOnce)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.mUnresponsive.insert(members[1]);
  for (int n = 0; n < 3; ++n) {
    mWorld.mNow += PlannerWorld::kProbeInterval;
    mWorld.Probe(members[1]);
  }
  Run(kStepInterval);
  CHECK(mOrders.empty());
  mWorld.Unlist(members[1]);
  CHECK(RunUntilGivenUp(members[0]) <= kStepInterval);
  Run(seconds(1));
  CHECK_EQUAL(1U, FindTargetIds().size());
}

// Guards against the same for a VM that was not called before, and for its
// group if it was the head.
TEST(Unlisted, ADeadHeadWithoutRequestsIsGivenUpAfterThreeProbes)
{
  const std::vector<std::string> members = FormOneGroup();
  Run(seconds(1));
  mWorld.mUnresponsive.insert(members[0]);
  mWorld.Unlist(members[0]);
  CHECK(RunUntilGivenUp(members[0]) <= milliseconds(500));
  Run(milliseconds(1500)); // the VM is still kept in the list
  const std::set<std::string> targets = FindTargetIds();
  CHECK_EQUAL(1U, targets.size());
  CHECK(!targets.contains(members[0]));
}

// Guards against a sound VM that is given up because a probe was lost.
TEST(Unlisted, TwoProbesWithoutResponseCostNoGroup)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[1]);
  mWorld.mUnresponsive.insert(members[1]);
  mWorld.Probe(members[1]);
  mWorld.mNow += PlannerWorld::kProbeInterval;
  mWorld.Probe(members[1]);
  mWorld.Step(kStepInterval);
  mWorld.mUnresponsive.clear();
  Run(seconds(1));
  CHECK(mOrders.empty());
}

// Guards against a group that counts on a member which has started again under
// its id and knows nothing of it.
TEST(Unlisted, ARestartUnderTheSameIdEndsTheMembership)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[3]);
  Run(milliseconds(400));
  CHECK(mOrders.empty());
  FleetVm& vm = mWorld.mUnlisted[members[3]];
  vm.mStartedMillis = 2;
  vm.mMembership.reset();
  mWorld.ListAgain(members[3]);
  CHECK(FindTargetIds().empty());
  CHECK(RunUntilGivenUp(members[0]) <= kStepInterval);
}

// Guards against a new planner that gives up what the one before has kept.
TEST(Unlisted, APlannerThatTakesOverKeepsTheGroups)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[0]);
  mWorld.Unlist(members[3]);
  mWorld.mState = MakePlannerState(8);
  Run(kHalfBound - milliseconds(100));
  CHECK_EQUAL(0U, CountOrders(OrderKind::Leave));
  CHECK_EQUAL(0U, CountOrders(OrderKind::Close));
  CHECK(mWorld.MembersOf(members[0]) == members);
}

// Guards against a VM in two groups, or one that joins a group it can't
// confirm.
TEST(Unlisted, AVmWithoutAnEntryIsNoSpare)
{
  const std::vector<std::string> members = FormOneGroup();
  std::string spare;
  for (const auto& [id, vm] : mWorld.mVms) {
    if (std::find(members.begin(), members.end(), id) == members.end()) {
      spare = id;
    }
  }
  mWorld.Unlist(spare);
  mWorld.mVms.erase(members[3]);
  Run(seconds(1));
  CHECK(!WasOrdered(OrderKind::Join, spare));
  CHECK(FindTargetIds().empty());
  mWorld.ListAgain(spare);
  Run(seconds(1));
  CHECK(WasOrdered(OrderKind::Join, spare));
  CHECK_EQUAL(1U, FindTargetIds().size());
}

// Guards against a group that begins to serve with a member which may be gone.
TEST(Unlisted, AGroupWithoutAllEntriesIsNotOpened)
{
  const std::vector<std::string> members = FormOneGroup();
  GroupMembership& membership = *mWorld.mVms[members[0]].mMembership;
  const GroupKey key = membership.mKey;
  membership.mPhase = MembershipPhase::Ready;
  mWorld.Unlist(members[1]);
  Run(seconds(1));
  for (const FleetOrder& it : mOrders) {
    CHECK(it.mKind != OrderKind::Open || it.mGroup != key);
  }
  CHECK(!WasOrdered(OrderKind::Join, members[1]));
  CHECK_EQUAL(1U, FindTargetIds().size()); // formed anew with the spare
}

// Guards against orders without end to a head that has left its group, which
// its last entry can't show.
TEST(Unlisted, AHeadThatHasLeftIsNotAdoptedAgain)
{
  const std::vector<std::string> members = FormOneGroup();
  mWorld.Unlist(members[0]);
  mWorld.mVms.erase(members[3]);
  Run(kHalfBound);
  CHECK_EQUAL(1U, CountOrders(OrderKind::Leave));
}

// Probes are priced: guards against those of VMs that no group depends on.
TEST(Unlisted, OnlyMembersOfServingGroupsAreProbed)
{
  const std::vector<std::string> members = FormOneGroup();
  for (const auto& [id, vm] : FleetVms(mWorld.mVms)) {
    mWorld.Unlist(id);
  }
  const std::set<std::string> suspects = FindSuspects(
    mWorld.mState, mWorld.mEngine, mWorld.mVms, mLoads, mWorld.mNow);
  CHECK(suspects == std::set<std::string>(members.begin(), members.end()));
}
