#include "plannerworld.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Planner)
{
  PlannerWorld mWorld;

  std::string FormOneOf(const char* aModel, size_t aVms)
  {
    mWorld.Add("d0", aVms, aModel);
    mWorld.Settle();
    const std::vector<std::string> heads = mWorld.OpenHeads(aModel);
    CHECK_EQUAL(1U, heads.size());
    return heads.front();
  }
};

TEST(Planner, ReplacesALostMemberByASpareAfterTheHeadHasLeft)
{
  const std::string head = FormOneOf("big", 5);
  const std::string lost = mWorld.MembersOf(head).back();
  mWorld.MakeUnresponsive(lost);
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, head) != nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, head) == nullptr);
  mWorld.Settle();
  const std::vector<std::string> heads = mWorld.OpenHeads("big");
  CHECK_EQUAL(1U, heads.size());
  for (const std::string& it : mWorld.MembersOf(heads.front())) {
    CHECK(it != lost);
  }
}

TEST(Planner, LocksMembersOfAnUnresponsiveHeadWhileItIsListed)
{
  const std::string head = FormOneOf("small", 5);
  mWorld.MakeUnresponsive(head);
  mWorld.Settle();
  CHECK(mWorld.OpenHeads("small") == std::vector<std::string>{ head });
  mWorld.Step(seconds(1));
  mWorld.mVms.erase(head);
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("small").size());
}

TEST(Planner, FreesMembersOfAnUnresponsiveHeadAfterTheStallTimeout)
{
  const std::string head = FormOneOf("small", 5);
  mWorld.MakeUnresponsive(head);
  mWorld.Settle();
  mWorld.Step(mWorld.mLimits.mStallTimeout + seconds(1));
  mWorld.MakeUnresponsive(head);
  mWorld.Settle();
  CHECK_EQUAL(2U, mWorld.OpenHeads("small").size());
}

TEST(Planner, ANewPlannerAdoptsServingGroups)
{
  const std::string head = FormOneOf("big", 5);
  mWorld.mState = MakePlannerState(8);
  CHECK(mWorld.Step().empty());
  CHECK_EQUAL(4U, mWorld.MembersOf(head).size());
}

// Guards against a late join of the planner before that takes a member of the
// group after its head has opened (TWO): each member answers an order first.
TEST(Planner, ANewPlannerOpensReadyGroupsOnceTheirMembersRefuseOldOrders)
{
  const std::string head = FormOneOf("big", 5);
  mWorld.mVms[head].mMembership->mPhase = MembershipPhase::Ready;
  const GroupKey group = mWorld.mVms[head].mMembership->mKey;
  mWorld.mState = MakePlannerState(8);
  std::vector<FleetOrder> orders = mWorld.Step();
  const std::vector<FleetOrder> later = mWorld.Step();
  orders.insert(orders.end(), later.begin(), later.end());
  CHECK_EQUAL(5U, orders.size());
  for (size_t n = 0; n < 4; ++n) {
    CHECK(OrderKind::Join == orders[n].mKind);
    CHECK(group == orders[n].mGroup);
    CHECK_EQUAL(4U, orders[n].mMembers.size());
  }
  CHECK(OrderKind::Open == orders[4].mKind);
  STRCMP_EQUAL(head.c_str(), orders[4].mVmId.c_str());
}

// Guards against adding a head that still serves to another group: its entry is
// missing from the list when a new planner starts, and reappears later.
TEST(Planner, AnOpenHeadThatReappearsIsNotOrderedToJoin)
{
  const std::string head = FormOneOf("small", 4);
  const FleetVm hidden = mWorld.mVms[head];
  mWorld.mVms.erase(head);
  mWorld.mState = MakePlannerState(8);
  mWorld.Settle();
  mWorld.mVms[head] = hidden;
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, head) == nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, head) != nullptr);
}

// The entries of the head and a member are missing from the list when a new
// planner starts; the member's reappears first, when the planner has already
// recorded the group as dissolved.
TEST(Planner, AMemberThatReappearsBeforeItsHeadIsNotFree)
{
  const std::string head = FormOneOf("small", 4);
  const std::string late = mWorld.MembersOf(head)[1];
  const FleetVm hidden = mWorld.mVms[late];
  mWorld.mVms.erase(head);
  mWorld.mVms.erase(late);
  mWorld.mState = MakePlannerState(8);
  mWorld.Settle();
  mWorld.mVms[late] = hidden;
  mWorld.Add("d0", 3, "small");
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, late) == nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, late) != nullptr);
  // The head must have broken down by then.
  mWorld.Step(mWorld.mLimits.mStallTimeout + seconds(1));
  CHECK(!IsLocked(mWorld.mState, mWorld.mVms, late, mWorld.mNow));
}

TEST(Planner, AMemberThatReappearsWithAnUnreachableHeadIsNotFree)
{
  const std::string head = FormOneOf("small", 4);
  const std::string late = mWorld.MembersOf(head)[1];
  const FleetVm hidden = mWorld.mVms[late];
  mWorld.mUnresponsive.insert(head);
  mWorld.mVms.erase(late);
  mWorld.mState = MakePlannerState(8);
  mWorld.Step();
  mWorld.Step(seconds(1));
  mWorld.Step();
  mWorld.mVms[late] = hidden;
  mWorld.Add("d0", 3, "small");
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, late) == nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, late) != nullptr);
}

TEST(Planner, ALeavingMemberLetsTheHeadFinishItsRequests)
{
  const std::string head = FormOneOf("big", 5);
  const std::string leaving = mWorld.MembersOf(head)[1];
  mWorld.mVms[leaving].mState = VmState::Leaving;
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Close, head) != nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, head) == nullptr);
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("big").size());
}

TEST(Planner, ARestartedVmIsNoLongerAMember)
{
  const std::string head = FormOneOf("big", 5);
  FleetVm& member = mWorld.mVms[mWorld.MembersOf(head)[2]];
  member.mStartedMillis = 99;
  member.mMembership.reset();
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Leave, head) != nullptr);
}

TEST(Planner, RepeatsAJoinWithoutResponseUnchanged)
{
  mWorld.Add("d0", 3, "small");
  mWorld.mBeforeTraffic = true;
  mWorld.Step();
  mWorld.mUnresponsive.insert("d0-1");
  const std::vector<FleetOrder> first = mWorld.Step(seconds(1));
  mWorld.mUnresponsive.clear();
  const std::vector<FleetOrder> second = mWorld.Step(milliseconds(500));
  const FleetOrder* firstJoin =
    mWorld.FindOrder(first, OrderKind::Join, "d0-1");
  const FleetOrder* secondJoin =
    mWorld.FindOrder(second, OrderKind::Join, "d0-1");
  CHECK(firstJoin != nullptr && secondJoin != nullptr);
  CHECK(firstJoin->mGroup == secondJoin->mGroup);
  CHECK(firstJoin->mMembers == secondJoin->mMembers);
}

TEST(Planner, EpochsIncreaseAcrossPlanners)
{
  const std::string head = FormOneOf("big", 4);
  const uint64_t before = mWorld.mVms[head].mMembership->mKey.mEpoch;
  mWorld.mState = MakePlannerState(8);
  CHECK(mWorld.mState.mLastEpoch > before);
}

TEST_GROUP(FleetFormation)
{
  PlannerWorld mWorld;

  void FormFirstGroups(size_t aDomains, size_t aVms)
  {
    mWorld.mBeforeTraffic = true;
    for (size_t n = 0; n < aDomains; ++n) {
      mWorld.Add("d" + std::to_string(n), aVms);
    }
    mWorld.Step();
    mWorld.Settle();
  }
};

TEST(FleetFormation, TheFirstPlanWaitsUntilAllVmsHaveAppeared)
{
  mWorld.mBeforeTraffic = true;
  mWorld.Add("d0", 3);
  CHECK(mWorld.Step().empty());
  mWorld.Add("d0", 6);
  CHECK(mWorld.Step().empty());
  CHECK(!mWorld.Step(seconds(1)).empty());
}

TEST(FleetFormation, ModelsGetTheirShareOfTheVms)
{
  FormFirstGroups(6, 9);
  CHECK_EQUAL(7U, mWorld.OpenHeads("big").size());
  CHECK_EQUAL(7U, mWorld.OpenHeads("small").size());
}

// A failed domain loses all its groups; the other domains still serve both
// models.
TEST(FleetFormation, BothModelsAreServedAfterADomainFails)
{
  FormFirstGroups(6, 9);
  for (size_t n = 0; n < 9; ++n) {
    const std::string id = "d0-" + std::to_string(n);
    mWorld.mUnresponsive.insert(id);
    mWorld.mVms.erase(id);
  }
  mWorld.mBeforeTraffic = false;
  mWorld.Settle();
  CHECK(mWorld.OpenHeads("big").size() >= 5);
  CHECK(mWorld.OpenHeads("small").size() >= 4);
}

// Two groups of sixteen in a domain of 37 VMs must keep their spares: if a
// small group used them, the loss of one VM would leave fifteen idle.
TEST(FleetFormation, LargeGroupsKeepSparesInTheirDomain)
{
  mWorld.mEngine.mModels[0].mSize = 16;
  mWorld.mEngine.mModels[1].mSize = 4;
  FormFirstGroups(6, 37);
  const std::string head = mWorld.OpenHeads("big").front();
  const std::string lost = mWorld.MembersOf(head).back();
  const size_t before = mWorld.OpenHeads("big").size();
  mWorld.mBeforeTraffic = false;
  mWorld.MakeUnresponsive(lost);
  mWorld.mVms.erase(lost);
  mWorld.Settle();
  CHECK_EQUAL(before, mWorld.OpenHeads("big").size());
}

TEST(FleetFormation, LoadsStayWithinTheSharedRate)
{
  for (size_t n = 0; n < 6; ++n) {
    mWorld.Add("d" + std::to_string(n), 9);
  }
  for (int n = 0; n < 100; ++n) {
    mWorld.Step(milliseconds(50));
  }
  const size_t loads = mWorld.mState.mLoads.size();
  CHECK(loads > 0);
  CHECK(loads <= static_cast<size_t>(mWorld.mEngine.mLoadsPerSecond * 5));
}

TEST(FleetFormation, LoadsThatRunStayWithinTheirNumber)
{
  mWorld.mLoadsNeverEnd = true;
  for (size_t n = 0; n < 6; ++n) {
    mWorld.Add("d" + std::to_string(n), 9);
  }
  for (int n = 0; n < 100; ++n) {
    mWorld.Step(milliseconds(50));
  }
  const size_t loads = mWorld.mState.mLoads.size();
  CHECK(loads > 0);
  CHECK(loads <= mWorld.mEngine.mLoadsAtOnce);
}

// Three VMs with a model need a fourth to form a group: an empty VM loads the
// model for them before any domain gets its first spare.
TEST(FleetFormation, ALoadThatCompletesAGroupGoesFirst)
{
  mWorld.mEngine.mLoadsAtOnce = 1;
  mWorld.Add("d0", 4, "big");
  mWorld.Settle();
  mWorld.Add("d1", 3, "big");
  mWorld.Add("d0", 1);
  mWorld.Add("d1", 1);
  const std::vector<FleetOrder> orders = mWorld.Step(seconds(1));
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, "d1-3") != nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, "d0-4") == nullptr);
}

/// Domains of nineteen VMs, and a wide model that needs sixteen.
TEST_GROUP(WideModel)
{
  PlannerWorld mWorld;

  void setup() override
  {
    mWorld.mEngine.mModels[0].mSize = 16;
    mWorld.mEngine.mModels[1].mSize = 4;
  }

  size_t CountStaged(const std::string& aModel) const
  {
    return static_cast<size_t>(
      std::count_if(mWorld.mVms.begin(), mWorld.mVms.end(), [&](auto& it) {
        return it.second.mStaged == std::vector<std::string>{ aModel };
      }));
  }
};

// Wide model short of VMs: guards against loads that begin a small group while
// a few would complete a group of many idle VMs.
TEST(WideModel, LoadsGoWhereTheyPutMostVmsToUse)
{
  mWorld.mEngine.mLoadsAtOnce = 3;
  mWorld.Add("d0", 13, "big");
  mWorld.Add("d0", 4);
  mWorld.Add("d1", 1, "small");
  mWorld.Add("d1", 3);
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("big").size());
}

// Wide model short of VMs: guards against a spare of another model that keeps a
// group from being complete.
TEST(WideModel, ASpareOfAnotherModelCompletesAGroup)
{
  mWorld.Add("d0", 14, "big");
  mWorld.Add("d0", 1, "small");
  mWorld.Add("d0", 1);
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("big").size());
}

// Guards against a spare that can serve neither a group of its domain nor a new
// one.
TEST(WideModel, TheRemainderOfADomainIsInReserveForItsGroups)
{
  mWorld.mBeforeTraffic = true;
  mWorld.Add("d0", 19);
  mWorld.Step();
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("big").size());
  CHECK_EQUAL(19U, CountStaged("big"));
}

// Guards against a complete group that is taken apart again before it is
// formed, as one of its VMs loads the model of another group that lacks one.
TEST(WideModel, ACompleteGroupLosesNoVmToAnotherModel)
{
  mWorld.mLoadsNeverEnd = true;
  mWorld.Add("d0", 15, "big");
  mWorld.Add("d0", 3, "small");
  mWorld.Step();
  mWorld.Step();
  size_t loading = 0;
  for (const auto& [id, vm] : mWorld.mState.mVms) {
    loading += vm.mLoadingModel == "big" ? 1 : 0;
    CHECK(vm.mLoadingModel != "small");
  }
  CHECK_EQUAL(1U, loading);
}

// Loads at once: guards against VMs that wait to load although others have
// finished sooner than expected, or have ended while they loaded.
TEST(WideModel, ALoadThatHasEndedMakesRoomForTheNext)
{
  mWorld.mEngine.mLoadsAtOnce = 2;
  mWorld.Add("d0", 4);
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("small").size());
}

TEST(WideModel, AVmThatIsGoneMakesRoomForTheNextLoad)
{
  mWorld.mEngine.mLoadsAtOnce = 1;
  mWorld.mLoadsNeverEnd = true;
  mWorld.Add("d0", 2);
  const std::vector<FleetOrder> first = mWorld.Step();
  CHECK_EQUAL(1U, first.size());
  CHECK(mWorld.Step().empty());
  mWorld.mVms.erase(first[0].mVmId);
  CHECK_EQUAL(1U, mWorld.Step().size());
}

// Guards against a model larger than every domain, or without a share, that is
// missed by nobody, or that keeps the other one from being served.
TEST(WideModel, AModelThatFitsNoDomainIsNamedAndTheOtherServed)
{
  mWorld.Add("d0", 9);
  mWorld.Add("d1", 15);
  for (int n = 0; n < 60; ++n) {
    mWorld.Step(milliseconds(500));
  }
  const PlannerView view{ mWorld.mVms, "drafting", mWorld.mEngine };
  CHECK((std::set<std::string>{ "big" }) == FindUnformableModels(view));
  CHECK(mWorld.OpenHeads("small").size() >= 2);
  mWorld.Add("d1", 1);
  CHECK(FindUnformableModels(view).empty());
  mWorld.mEngine.mModels[1].mShare = 0;
  CHECK((std::set<std::string>{ "small" }) == FindUnformableModels(view));
}
