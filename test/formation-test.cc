#include "groups/formation.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kMaxProbeAge = seconds(3);
const TimePoint kNow{ std::chrono::hours(1) };

Rules
OneRule(uint32_t aVms)
{
  Rules rules;
  GroupRule rule;
  rule.mName = "drafting";
  rule.mModel = "m";
  rule.mVmsPerCopy = aVms;
  rules.mGroups.push_back(rule);
  return rules;
}

ObservedVm
FreeVm(const std::string& aId, Duration aAge = seconds(1))
{
  ObservedVm vm;
  vm.mVm.mId = aId;
  vm.mVm.mIncarnation = aId + "-1";
  vm.mVm.mPool = "workers";
  vm.mVm.mDomain = "rack";
  vm.mLastProbe = ProbeResult{};
  vm.mLastProbe->mStatus.mIncarnation = vm.mVm.mIncarnation;
  vm.mLastProbe->mProbedAt = kNow - aAge;
  vm.mTimes.mFreeSince = kNow - kMaxProbeAge;
  return vm;
}

DomainInput
Input(std::initializer_list<const char*> aVms, uint32_t aCopies)
{
  DomainInput input;
  input.mCurrent.mName = "rack";
  input.mMaxProbeAge = kMaxProbeAge;
  input.mCopies["drafting"] = aCopies;
  for (const char* it : aVms) {
    input.mVms.push_back(FreeVm(it));
  }
  return input;
}

/// Makes the engines of a group report that they serve it.
void
MakeReady(DomainInput& aInput, const Group& aGroup)
{
  for (const GroupMember& member : aGroup.mMembers) {
    for (ObservedVm& it : aInput.mVms) {
      if (it.mVm.mId == member.mVm) {
        it.mLastProbe->mStatus.mGroup = aGroup.mId;
        it.mLastProbe->mStatus.mGeneration = aGroup.mGeneration;
        it.mLastProbe->mStatus.mReady = true;
        it.mTimes.mFreeSince.reset();
      }
    }
  }
}

/// @return a domain with a serving group of VMs a and b, and a spare VM c
DomainInput
InputWithServingGroup()
{
  DomainInput input = Input({ "a", "b", "c" }, 1);
  input.mCurrent = PlanDomain(OneRule(2), input, kNow);
  MakeReady(input, input.mCurrent.mGroups[0]);
  input.mCurrent = PlanDomain(OneRule(2), input, kNow);
  input.mTimes = UpdateGroupTimes(OneRule(2), input, kNow);
  return input;
}

} // namespace

TEST_GROUP(Formation){};

TEST(Formation, FormsAGroupThatServesOnceAllMembersAreReady)
{
  DomainInput input = Input({ "a", "b", "c" }, 1);
  input.mCurrent = PlanDomain(OneRule(2), input, kNow);
  CHECK_EQUAL(1u, input.mCurrent.mGroups.size());
  CHECK(GroupPhase::Forming == input.mCurrent.mGroups[0].mPhase);
  MakeReady(input, input.mCurrent.mGroups[0]);
  input.mVms[1].mLastProbe->mStatus.mReady = false;
  CHECK(GroupPhase::Forming ==
        PlanDomain(OneRule(2), input, kNow).mGroups[0].mPhase);
  input.mVms[1].mLastProbe->mStatus.mReady = true;
  CHECK(GroupPhase::Serving ==
        PlanDomain(OneRule(2), input, kNow).mGroups[0].mPhase);
}

TEST(Formation, ReplacesAMissingVmWithASpare)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.erase(input.mVms.begin());
  const Group group = PlanDomain(OneRule(2), input, kNow).mGroups[0];
  CHECK_EQUAL(2u, group.mGeneration);
  CHECK(GroupPhase::Forming == group.mPhase);
  STRCMP_EQUAL("c", group.mMembers[1].mVm.c_str());
}

TEST(Formation, TreatsARestartedVmAsMissing)
{
  DomainInput input = InputWithServingGroup();
  input.mVms[0].mVm.mIncarnation = "a-2";
  input.mVms[0].mLastProbe->mStatus.mIncarnation = "a-2";
  const Group group = PlanDomain(OneRule(2), input, kNow).mGroups[0];
  CHECK_EQUAL(2u, group.mGeneration);
  CHECK(GroupPhase::Forming == group.mPhase);
}

TEST(Formation, DissolvesAGroupThatCannotBeRepaired)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.resize(1);
  const Domain next = PlanDomain(OneRule(2), input, kNow);
  CHECK(GroupPhase::Retiring == next.mGroups[0].mPhase);
}

TEST(Formation, FreesARetiredVmOnlyAfterItsReleaseAndTheMaxProbeAge)
{
  DomainInput input = InputWithServingGroup();
  input.mCurrent.mGroups[0].mPhase = GroupPhase::Retiring;
  input.mTimes = UpdateGroupTimes(OneRule(2), input, kNow);
  CHECK_EQUAL(
    1u, PlanDomain(OneRule(2), input, kNow + kMaxProbeAge).mGroups.size());
  for (ObservedVm& it : input.mVms) {
    it.mLastProbe->mStatus.mGroup.clear();
    it.mTimes.mReleasedFrom = input.mCurrent.mGroups[0].mId;
    it.mTimes.mFreeSince = kNow;
    it.mLastProbe->mProbedAt = kNow + seconds(1);
  }
  input.mTimes = UpdateGroupTimes(OneRule(2), input, kNow);
  input.mCopies.clear();
  const TimePoint free = kNow + kMaxProbeAge;
  CHECK_EQUAL(
    1u, PlanDomain(OneRule(2), input, free - milliseconds(1)).mGroups.size());
  CHECK_EQUAL(0u, PlanDomain(OneRule(2), input, free).mGroups.size());
}

TEST(Formation, DrainsTheGroupOfALeavingVm)
{
  DomainInput input = InputWithServingGroup();
  input.mVms[0].mVm.mState = VmState::Leaving;
  input.mCurrent = PlanDomain(OneRule(2), input, kNow);
  CHECK(GroupPhase::Draining == input.mCurrent.mGroups[0].mPhase);
  input.mTimes = UpdateGroupTimes(OneRule(2), input, kNow);
  for (ObservedVm& it : input.mVms) {
    it.mLastProbe->mProbedAt = kNow + kMaxProbeAge;
  }
  input.mVms[0].mLastProbe->mStatus.mRunning = 1;
  CHECK(GroupPhase::Draining ==
        PlanDomain(OneRule(2), input, kNow + kMaxProbeAge).mGroups[0].mPhase);
  input.mVms[0].mLastProbe->mStatus.mRunning = 0;
  CHECK(GroupPhase::Retiring ==
        PlanDomain(OneRule(2), input, kNow + kMaxProbeAge).mGroups[0].mPhase);
}

TEST(Formation, PlansNothingWithoutARecentProbe)
{
  DomainInput input = InputWithServingGroup();
  CHECK(input.mCurrent == PlanDomain(OneRule(2), input, kNow + seconds(9)));
  input.mVms.clear();
  CHECK(input.mCurrent == PlanDomain(OneRule(2), input, kNow));
}

namespace {

/// A state in which a spare VM must not be assigned, and whether the pool's
/// engines check fencing numbers.
struct UnusableSpare
{
  const char* mWhy;
  FencingMode mFencing;
  void (*mMakeUnusable)(DomainInput& aInput, ObservedVm& aSpare);
};

constexpr UnusableSpare kUnusableSpares[] = {
  { "it accepted no release of this holder",
    FencingMode::Enforced,
    [](DomainInput&, ObservedVm& aSpare) {
      aSpare.mTimes.mFreeSince.reset();
    } },
  { "it has been free for less than the maximum probe age",
    FencingMode::Enforced,
    [](DomainInput&, ObservedVm& aSpare) {
      aSpare.mTimes.mFreeSince = kNow - kMaxProbeAge + milliseconds(1);
    } },
  { "it is a member in another domain, or listed there too",
    FencingMode::Enforced,
    [](DomainInput&, ObservedVm& aSpare) { aSpare.mInOtherDomain = true; } },
  { "it was not probed recently",
    FencingMode::Enforced,
    [](DomainInput&, ObservedVm& aSpare) {
      aSpare.mLastProbe->mProbedAt = kNow - kMaxProbeAge;
    } },
  { "an order of a previous holder may still be in flight",
    FencingMode::Ignored,
    [](DomainInput& aInput, ObservedVm& aSpare) {
      aInput.mLeaseHeldSince = kNow - seconds(5);
      aInput.mMaxOrderDelay = seconds(5);
      aSpare.mLastProbe->mProbedAt = kNow;
    } },
};

} // namespace

TEST(Formation, DoesNotAssignAnUnusableSpare)
{
  for (const UnusableSpare& it : kUnusableSpares) {
    Rules rules = OneRule(2);
    rules.mGroups[0].mFencingMode = it.mFencing;
    DomainInput input = InputWithServingGroup();
    input.mVms.erase(input.mVms.begin());
    CHECK(GroupPhase::Forming ==
          PlanDomain(rules, input, kNow).mGroups[0].mPhase);
    it.mMakeUnusable(input, input.mVms[1]);
    CHECK_TEXT(GroupPhase::Retiring ==
                 PlanDomain(rules, input, kNow).mGroups[0].mPhase,
               it.mWhy);
  }
}

TEST(Formation, WithoutFencingReleasesAVmOnlyAfterTheMaxOrderDelay)
{
  Rules rules = OneRule(2);
  rules.mGroups[0].mFencingMode = FencingMode::Ignored;
  DomainInput input = InputWithServingGroup();
  input.mMaxOrderDelay = seconds(5);
  input.mCurrent.mGroups[0].mPhase = GroupPhase::Retiring;
  input.mTimes = UpdateGroupTimes(rules, input, kNow);
  const auto isReleasedAt = [&](TimePoint aProbedAt) {
    for (ObservedVm& it : input.mVms) {
      it.mLastProbe->mStatus.mGroup.clear();
      it.mLastProbe->mProbedAt = aProbedAt;
      it.mTimes.mReleasedFrom = input.mCurrent.mGroups[0].mId;
      it.mTimes.mFreeSince = kNow;
    }
    input.mTimes = UpdateGroupTimes(rules, input, aProbedAt);
    return input.mTimes.begin()->second.mReleasedAt.has_value();
  };
  CHECK_FALSE(isReleasedAt(kNow + seconds(5)));
  CHECK(isReleasedAt(kNow + seconds(5) + milliseconds(1)));
}

TEST(Formation, FormsTheSuccessorOfALeavingCopyBeforeItDrains)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.push_back(FreeVm("d"));
  input.mVms[0].mVm.mState = VmState::Leaving;
  input.mVms[0].mTimes.mLeavingSince = kNow;
  const Domain next = PlanDomain(OneRule(2), input, kNow);
  CHECK_EQUAL(2u, next.mGroups.size());
  CHECK(GroupPhase::Serving == next.mGroups[0].mPhase);
  input.mCurrent = next;
  CHECK(
    GroupPhase::Draining ==
    PlanDomain(OneRule(2), input, kNow + milliseconds(1500)).mGroups[0].mPhase);
}

TEST(Formation, ReassignsARestartedVmToItsGroup)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.resize(2);
  ObservedVm& vm = input.mVms[0];
  vm.mVm.mIncarnation = "a-2";
  vm.mLastProbe->mStatus = {};
  vm.mLastProbe->mStatus.mIncarnation = "a-2";
  vm.mTimes.mFirstListedAt = kNow;
  CHECK(input.mCurrent == PlanDomain(OneRule(2), input, kNow));
  vm.mTimes.mUnassignedSinceRestart = true;
  vm.mTimes.mFreeSince = kNow;
  const Group group = PlanDomain(OneRule(2), input, kNow).mGroups[0];
  CHECK_EQUAL(2u, group.mGeneration);
  STRCMP_EQUAL("a-2", group.mMembers[1].mIncarnation.c_str());
}

TEST(Formation, WaitsForARestartedVmForAtMostTwiceTheMaxProbeAge)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.resize(2);
  input.mVms[0].mVm.mIncarnation = "a-2";
  input.mVms[0].mTimes.mFirstListedAt = kNow - kMaxProbeAge * 2;
  CHECK(GroupPhase::Retiring ==
        PlanDomain(OneRule(2), input, kNow).mGroups[0].mPhase);
}

TEST(Formation, KeepsARestartedVmForTheGroupThatRecordsIt)
{
  DomainInput input = InputWithServingGroup();
  input.mVms.push_back(FreeVm("d"));
  input.mVms.push_back(FreeVm("e"));
  input.mVms.erase(input.mVms.begin() + 2);
  input.mCopies["drafting"] = 2;
  input.mCurrent = PlanDomain(OneRule(2), input, kNow);
  CHECK_EQUAL(2u, input.mCurrent.mGroups.size());
  MakeReady(input, input.mCurrent.mGroups[1]);
  for (const size_t i : { 0, 1, 2 }) {
    input.mVms[i].mVm.mIncarnation += "x";
    input.mVms[i].mLastProbe->mStatus = {};
    input.mVms[i].mLastProbe->mStatus.mIncarnation =
      input.mVms[i].mVm.mIncarnation;
  }
  input.mVms[0].mTimes.mUnassignedSinceRestart = true;
  input.mVms[0].mTimes.mFreeSince = kNow;
  const Domain next = PlanDomain(OneRule(2), input, kNow);
  for (const GroupMember& it : next.mGroups[1].mMembers) {
    CHECK(it.mVm != "a");
  }
}
