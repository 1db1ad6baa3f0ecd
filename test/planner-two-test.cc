#include "plannerworld.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

/// A VM that is still a member of a group must not join another one while the
/// head may serve. The planner cannot tell a head that is dead from one that
/// only it cannot reach.
TEST_GROUP(PlannerUnreachableHead)
{
  PlannerWorld mWorld;
  std::string mHead;
  std::string mMember;

  void Form()
  {
    mWorld.Add("d0", 4, "small");
    mWorld.Settle();
    mHead = mWorld.OpenHeads("small").front();
    mMember = mWorld.MembersOf(mHead)[1];
  }

  bool IsOrdered(const std::vector<FleetOrder>& aOrders, OrderKind aKind)
  {
    return mWorld.FindOrder(aOrders, aKind, mMember) != nullptr;
  }
};

// Guards against ordering a VM to join while its head serves unreached: the
// entries of both expired, the head's after a new planner has adopted the
// group, and the member's is listed again first.
TEST(PlannerUnreachableHead, AMemberListedAgainBeforeItsHeadIsNotFree)
{
  Form();
  const FleetVm hidden = mWorld.mVms[mMember];
  mWorld.mUnresponsive.insert(mHead);
  mWorld.mVms.erase(mMember);
  mWorld.mState = MakePlannerState(8);
  mWorld.Step();
  mWorld.Step(milliseconds(500));
  mWorld.Step(milliseconds(500));
  mWorld.mVms.erase(mHead);
  mWorld.mVms[mMember] = hidden;
  mWorld.Add("d0", 3, "small");
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(!IsOrdered(orders, OrderKind::Join));
  CHECK(IsOrdered(orders, OrderKind::Leave));
}

// Guards against ordering a VM to join that has not left its group, as the
// order to leave was lost: the head is neither listed nor reachable, but may
// serve.
TEST(PlannerUnreachableHead, AMemberThatDidNotGetTheOrderToLeaveIsNotFree)
{
  Form();
  mWorld.Add("d0", 3, "small");
  mWorld.mUnresponsive = { mHead, mMember };
  mWorld.mVms.erase(mHead);
  for (int n = 0; n < 3; ++n) {
    CHECK(!IsOrdered(mWorld.Step(milliseconds(500)), OrderKind::Join));
  }
}

// Guards against keeping a VM without a group for the whole stall timeout, as a
// single order to leave was lost: the order is repeated, and the VM is free as
// soon as it has left a head that does not respond.
TEST(PlannerUnreachableHead, AMemberIsFreeOnceARepeatedOrderToLeaveArrives)
{
  Form();
  mWorld.mUnresponsive = { mHead, mMember };
  mWorld.mVms.erase(mHead);
  mWorld.Step();
  mWorld.Step(milliseconds(500));
  mWorld.Step(milliseconds(500));
  mWorld.mUnresponsive = { mHead };
  RecordProbe(mWorld.mState, mMember, true, { mWorld.mNow, mWorld.mNow });
  CHECK(IsOrdered(mWorld.Step(milliseconds(500)), OrderKind::Leave));
  CHECK(!mWorld.mVms[mMember].mMembership.has_value());
  mWorld.Add("d0", 1, "small");
  mWorld.MakeUnresponsive(mHead);
  CHECK(!IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
}

// Guards against ordering a VM to leave again and again, and against keeping it
// locked, while the platform's list still shows the membership that it left.
TEST(PlannerUnreachableHead, AConfirmedOrderToLeaveIsNotRepeated)
{
  Form();
  const FleetVm before = mWorld.mVms[mMember];
  mWorld.mUnresponsive = { mHead };
  mWorld.mVms.erase(mHead);
  CHECK(IsOrdered(mWorld.Step(), OrderKind::Leave));
  for (int n = 0; n < 3; ++n) {
    mWorld.mVms[mMember] = before;
    CHECK(!IsOrdered(mWorld.Step(milliseconds(500)), OrderKind::Leave));
  }
  mWorld.MakeUnresponsive(mHead);
  CHECK(!IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
}

// Guards against keeping members locked and ordering them to leave although the
// head has left: its response arrives when the group is no longer planned.
TEST(PlannerUnreachableHead, AMemberIsFreeOnceTheHeadHasLeftLate)
{
  Form();
  const GroupKey group = mWorld.mVms[mMember].mMembership->mKey;
  mWorld.mUnresponsive = { mHead, mMember };
  mWorld.mVms.erase(mHead);
  for (int n = 0; n < 3; ++n) {
    mWorld.Step(milliseconds(500));
  }
  CHECK(IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
  FleetOrder leave;
  leave.mKind = OrderKind::Leave;
  leave.mVmId = mHead;
  leave.mGroup = group;
  RecordOutcome(mWorld.mState,
                leave,
                OrderOutcome::AlreadyDone,
                { mWorld.mNow, mWorld.mNow });
  RecordProbe(mWorld.mState, mMember, true, { mWorld.mNow, mWorld.mNow });
  CHECK(!IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
  CHECK(!IsOrdered(mWorld.Step(milliseconds(500)), OrderKind::Leave));
}

// Guards against keeping members locked for the whole stall timeout although
// their head, which a new planner did not know at first, has left.
TEST(PlannerUnreachableHead, MembersAreFreeOnceAHeadThatReappearsHasLeft)
{
  Form();
  const FleetVm hidden = mWorld.mVms[mHead];
  mWorld.mVms.erase(mHead);
  mWorld.mState = MakePlannerState(8);
  mWorld.Settle();
  CHECK(IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
  mWorld.mVms[mHead] = hidden;
  mWorld.Step();
  CHECK(!IsLocked(mWorld.mState, mWorld.mVms, mMember, mWorld.mNow));
}

/// Orders without a response may take effect seconds later, also when their
/// group has been given up.
TEST_GROUP(PlannerLateOrders)
{
  PlannerWorld mWorld;
  std::string mHead;
  std::string mMember;
  GroupKey mGroup;

  void Form()
  {
    mWorld.Add("d0", 3, "small");
    mWorld.Settle();
    mHead = mWorld.OpenHeads("small").front();
    mMember = mWorld.MembersOf(mHead)[1];
    mGroup = mWorld.mVms[mHead].mMembership->mKey;
    mWorld.Add("d0", 2, "small");
  }

  void SetPhase(MembershipPhase aPhase)
  {
    mWorld.mVms[mHead].mMembership->mPhase = aPhase;
  }

  /// The head has not carried out the order to open yet.
  void UndoOpening()
  {
    SetPhase(MembershipPhase::Ready);
    mWorld.mState.mVms[mHead].mFacts.mGroup->mPhase = MembershipPhase::Ready;
  }

  void LoseLastMember()
  {
    mWorld.mVms[mWorld.MembersOf(mHead).back()].mState = VmState::Leaving;
  }

  bool IsOrderedToJoin(const std::vector<FleetOrder>& aOrders) const
  {
    return mWorld.FindOrder(aOrders, OrderKind::Join, mHead) != nullptr ||
           mWorld.FindOrder(aOrders, OrderKind::Join, mMember) != nullptr;
  }
};

// Guards against freeing the members of a closing group while its head may
// still carry out an order to open: a member leaves while the head opens.
TEST(PlannerLateOrders, MembersAreNotFreeBeforeTheHeadHasLeft)
{
  Form();
  UndoOpening();
  mWorld.mUnresponsive = { mHead };
  LoseLastMember();
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, mHead) != nullptr);
  CHECK(!IsOrderedToJoin(orders));
  SetPhase(MembershipPhase::Open); // the late order
  const std::vector<FleetOrder> repeated = mWorld.Step(milliseconds(500));
  CHECK(mWorld.FindOrder(repeated, OrderKind::Leave, mHead) != nullptr);
  CHECK(!IsOrderedToJoin(repeated));
  CHECK(!IsOrderedToJoin(mWorld.Step(milliseconds(500))));
}

// Guards against keeping the members of a closed group waiting although the
// head has confirmed that it left.
TEST(PlannerLateOrders, MembersAreFreeOnceTheHeadHasLeft)
{
  Form();
  SetPhase(MembershipPhase::Ready);
  LoseLastMember();
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, mHead) != nullptr);
  CHECK(IsOrderedToJoin(mWorld.Step()));
}

// Guards against repeating the joins of a newer group while the head of the
// members' earlier group serves, as orders to join and to open it were late.
TEST(PlannerLateOrders, JoinsAreNotRepeatedWhileTheEarlierHeadServes)
{
  Form();
  const FleetVm head = mWorld.mVms[mHead];
  const FleetVm member = mWorld.mVms[mMember];
  LoseLastMember();
  for (int n = 0; n < 5 && mWorld.mVms[mHead].mMembership; ++n) {
    mWorld.mUnresponsive = { mMember };
    mWorld.Step();
  }
  mWorld.mUnresponsive = { mHead, mMember };
  CHECK(IsOrderedToJoin(mWorld.Step()));
  mWorld.mVms[mHead] = head;
  mWorld.mVms[mMember] = member;
  for (int n = 0; n < 5; ++n) {
    CHECK(!IsOrderedToJoin(mWorld.Step(milliseconds(500))));
  }
}
