#include "placement/believedvms.h"
#include "plannerworld.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

/// The planner frees a VM for another group only on proof that its group has
/// ended. An entry that shows less than is known is none.
TEST_GROUP(PlannerEntries)
{
  PlannerWorld mWorld;
  std::string mHead;
  std::string mMember;

  /// Opens a group of three, beside which three VMs have no group to join.
  void Form()
  {
    mWorld.Add("d0", 3, "small");
    mWorld.Settle();
    mHead = mWorld.OpenHeads("small").front();
    mMember = mWorld.MembersOf(mHead)[1];
    mWorld.Add("d0", 2, "small");
    mWorld.Settle();
    mWorld.mReported.clear();
  }

  /// Replaces the entry of a VM by one that shows no group; the VM stays as it
  /// is.
  void ShowOldEntry(const std::string& aVmId)
  {
    mWorld.mActual[aVmId] = mWorld.mVms[aVmId];
    mWorld.mVms[aVmId].mMembership.reset();
  }

  void teardown() override
  {
    STRCMP_EQUAL("", mWorld.mTwo.c_str());
  }

  /// @return whether an open head or a member of its group was ordered to join
  bool IsAnyOrderedToJoin(const std::vector<FleetOrder>& aOrders) const
  {
    return mWorld.FindOrder(aOrders, OrderKind::Join, mHead) != nullptr ||
           mWorld.FindOrder(aOrders, OrderKind::Join, mMember) != nullptr;
  }
};

// Guards against a sound group that is given up, and whose head joins another
// one while it is open (TWO), as the head's entry is from before it joined.
TEST(PlannerEntries, AnOldEntryOfAHeadChangesNothing)
{
  Form();
  ShowOldEntry(mHead);
  for (int n = 0; n < 5; ++n) {
    CHECK(mWorld.Step(milliseconds(300)).empty());
  }
  CHECK(mWorld.mReported.contains(mHead));
}

// Guards against the same for another member.
TEST(PlannerEntries, AnOldEntryOfAMemberChangesNothing)
{
  Form();
  ShowOldEntry(mMember);
  for (int n = 0; n < 5; ++n) {
    CHECK(mWorld.Step(milliseconds(300)).empty());
  }
}

// Guards against the same if the VM does not respond to tell.
TEST(PlannerEntries, AnOldEntryOfASilentHeadFreesNobody)
{
  Form();
  ShowOldEntry(mHead);
  mWorld.mUnresponsive.insert(mHead);
  for (int n = 0; n < 5; ++n) {
    CHECK(!IsAnyOrderedToJoin(mWorld.Step(milliseconds(300))));
  }
}

// Guards against a planner that has just taken over and knows the VMs only by
// old entries, or by entries that were lost.
TEST(PlannerEntries, ANewPlannerDoesNotTrustOldEntries)
{
  Form();
  ShowOldEntry(mHead);
  ShowOldEntry(mMember);
  mWorld.mState = MakePlannerState(8);
  for (int n = 0; n < 3; ++n) {
    CHECK(mWorld.Step(milliseconds(300)).empty());
  }
  CHECK_EQUAL(3U, mWorld.MembersOf(mHead).size());
}

// Guards against a group that is kept for good although its head has left it by
// an order of another planner: the head's report is proof.
TEST(PlannerEntries, AGroupIsGivenUpOnceItsHeadReportsThatItHasLeft)
{
  Form();
  mWorld.mVms[mHead].mMembership.reset();
  mWorld.Step();
  CHECK(mWorld.mReported.contains(mHead));
  CHECK(mWorld.MembersOf(mHead).empty());
}

// Guards against a report whose group can't be read, and that is taken for one
// of a VM without a group.
TEST(PlannerEntries, AReportWithoutAReadableGroupIsNoProof)
{
  Form();
  ShowOldEntry(mHead);
  mWorld.mTellsMembership = false;
  for (int n = 0; n < 5; ++n) {
    CHECK(mWorld.Step(milliseconds(300)).empty());
  }
}

// Guards against reports, which are priced, that the usual way doesn't need:
// orders of this planner explain the entries.
TEST(PlannerEntries, OrdersOfThisPlannerNeedNoReport)
{
  mWorld.mBeforeTraffic = true;
  mWorld.Add("d0", 7, "big");
  mWorld.Step();
  mWorld.Settle();
  mWorld.mBeforeTraffic = false;
  mHead = mWorld.OpenHeads("big").front();
  mWorld.mVms[mWorld.MembersOf(mHead)[1]].mState = VmState::Leaving;
  mWorld.Settle();
  mWorld.Add("d0", 2, "big");
  mWorld.Settle();
  CHECK_EQUAL(2U, mWorld.OpenHeads("big").size());
  CHECK(mWorld.mReported.empty());
}

// Guards against a join that overtakes an order of an earlier planner, of which
// the VM's report knew nothing.
TEST(PlannerEntries, AJoinStatesTheOrdersThatTheVmReported)
{
  mWorld.Add("d0", 3, "small");
  const std::vector<FleetOrder> orders = mWorld.Step(seconds(1));
  const FleetOrder* join = mWorld.FindOrder(orders, OrderKind::Join, "d0-1");
  CHECK(join != nullptr);
  CHECK(join->mExpectedCount == 0U);
}

namespace {

constexpr const char* kVm = "v";

struct Row
{
  const char* mText;
  std::function<void(FleetVm&, PlannerState&, PlannedVm&)> mChange;
  Availability mExpected;
};

} // namespace

TEST_GROUP(PlannerAvailability){};

// Guards against VMs that the parts of the planner take for free by rules of
// their own.
TEST(PlannerAvailability, FollowsFromWhatIsKnown)
{
  const TimePoint now{ std::chrono::hours(1) };
  const GroupKey group{ "g9", 9 };
  const Row rows[] = {
    { "proven", [](auto&, auto&, auto&) {}, Availability::Free },
    { "draining",
      [](FleetVm& aVm, auto&, auto&) { aVm.mState = VmState::Leaving; },
      Availability::Leaving },
    { "without an entry",
      [&](FleetVm& aVm, auto&, auto&) {
        aVm.mLapse = VmLapse{ now, now };
      },
      Availability::Leaving },
    { "open head",
      [&](FleetVm& aVm, auto&, auto&) {
        aVm.mMembership =
          GroupMembership{ group, 0, MembershipPhase::Open, "m" };
      },
      Availability::Serving },
    { "member listed after its group was planned",
      [&](FleetVm& aVm, PlannerState& aState, auto&) {
        aVm.mMembership =
          GroupMembership{ group, 1, MembershipPhase::Ready, "m" };
        aState.mGroups[group].mMembers = { "a", "b" };
      },
      Availability::InGroup },
    { "locked",
      [&](auto&, auto&, PlannedVm& aPlanned) {
        aPlanned.mLockedUntil = now + seconds(1);
      },
      Availability::Locked },
    { "entry without the known group",
      [](auto&, auto&, PlannedVm& aPlanned) {
        aPlanned.mFacts.mIsDoubted = true;
      },
      Availability::Doubted },
    { "known by its entry only",
      [](auto&, auto&, PlannedVm& aPlanned) { aPlanned.mFacts = {}; },
      Availability::Unproven },
  };
  for (const Row& it : rows) {
    FleetVms vms;
    FleetVm& vm = vms[kVm];
    vm.mId = kVm;
    PlannerState state = MakePlannerState(1);
    PlannedVm& planned = state.mVms[kVm];
    planned.mFacts = FactsOfNewVm();
    it.mChange(vm, state, planned);
    const EngineSpec engine;
    CHECK_TEXT(it.mExpected ==
                 AvailabilityOf(state, { vms, "s", engine }, vm, now),
               it.mText);
  }
}
