#include "groups/orders.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kMaxProbeAge = seconds(3);
const TimePoint kNow{ std::chrono::hours(1) };

Vm
MakeVm()
{
  Vm vm;
  vm.mId = "a";
  vm.mIncarnation = "a-1";
  vm.mPool = "workers";
  return vm;
}

ProbeResult
ProbeReporting(const std::string& aGroup, TimePoint aProbedAt)
{
  ProbeResult probe;
  probe.mStatus.mIncarnation = "a-1";
  probe.mStatus.mGroup = aGroup;
  probe.mProbedAt = aProbedAt;
  return probe;
}

/// A domain whose only VM, a, reports that it belongs to aGroup.
DomainInput
InputOf(const std::string& aGroup)
{
  DomainInput input;
  input.mCurrent.mOrderNumber = 77;
  input.mMaxProbeAge = kMaxProbeAge;
  input.mVms.push_back({ MakeVm(), ProbeReporting(aGroup, kNow), {}, false });
  return input;
}

Group
GroupOfA(GroupPhase aPhase)
{
  Group group;
  group.mId = "g";
  group.mModel = "m";
  group.mGeneration = 4;
  group.mPhase = aPhase;
  group.mMembers.push_back({ "a", "a-1", {} });
  return group;
}

std::vector<DueOrder>
Orders(const DomainInput& aInput, uint32_t aLoads = 8)
{
  return DecideOrders(aInput, {}, aLoads, kNow);
}

} // namespace

TEST_GROUP(VmTimesUpdate)
{
  VmTimes mTimes;
  Vm mVm = MakeVm();

  void UpdateWith(const std::string& aGroup, TimePoint aProbedAt)
  {
    mTimes = UpdateVmTimes(
      mTimes, mVm, ProbeReporting(aGroup, aProbedAt), aProbedAt, kMaxProbeAge);
  }
};

TEST(VmTimesUpdate, IsFreeOnlyByAProbeSentAfterTheRelease)
{
  UpdateWith("", kNow);
  CHECK_FALSE(mTimes.mFreeSince.has_value());
  RecordRelease(mTimes, "g", kNow + milliseconds(10));
  UpdateWith("", kNow + milliseconds(9));
  CHECK_FALSE(mTimes.mFreeSince.has_value());
  UpdateWith("", kNow + milliseconds(11));
  CHECK(kNow + milliseconds(11) == *mTimes.mFreeSince);
}

TEST(VmTimesUpdate, ResetsFreeSinceOnAReportedGroupAGapOrARestart)
{
  UpdateWith("", kNow - seconds(1));
  RecordRelease(mTimes, "", kNow);
  UpdateWith("", kNow);
  UpdateWith("stray", kNow + seconds(1));
  CHECK_FALSE(mTimes.mFreeSince.has_value());
  UpdateWith("", kNow + seconds(2));
  UpdateWith("", kNow + seconds(6));
  CHECK(kNow + seconds(6) == *mTimes.mFreeSince);
  mVm.mIncarnation = "a-2";
  UpdateWith("", kNow + seconds(7));
  CHECK_FALSE(mTimes.mReleaseAcceptedAt.has_value());
}

TEST_GROUP(OrderDecision){};

TEST(OrderDecision, ReleasesAVmThatReportsAnUnrecordedGroup)
{
  const std::vector<DueOrder> due = Orders(InputOf("stray"));
  CHECK_EQUAL(1u, due.size());
  CHECK(due[0].mOrder.mGroup.empty());
  CHECK_EQUAL(77u, due[0].mOrder.mFencing);
}

TEST(OrderDecision, ReleasesEachIdleVmOnce)
{
  DomainInput input = InputOf("");
  CHECK_EQUAL(1u, Orders(input).size());
  input.mVms[0].mTimes.mReleaseAcceptedAt = kNow - seconds(1);
  CHECK_EQUAL(0u, Orders(input).size());
}

TEST(OrderDecision, SendsNothingToAVmOfAnotherDomain)
{
  DomainInput input = InputOf("stray");
  input.mVms[0].mInOtherDomain = true;
  CHECK_EQUAL(0u, Orders(input).size());
}

TEST(OrderDecision, ReleasesARetiringMemberThatReportsNoGroup)
{
  DomainInput input = InputOf("");
  input.mVms[0].mTimes.mReleaseAcceptedAt = kNow - seconds(1);
  input.mCurrent.mGroups.push_back(GroupOfA(GroupPhase::Retiring));
  const std::vector<DueOrder> due = Orders(input);
  CHECK_EQUAL(1u, due.size());
  STRCMP_EQUAL("g", due[0].mRetiredGroup.c_str());
  input.mVms[0].mTimes.mReleasedFrom = "g";
  CHECK_EQUAL(0u, Orders(input).size());
}

TEST(OrderDecision, AssignsMembersWithinTheLoadLimit)
{
  DomainInput input = InputOf("");
  input.mCurrent.mGroups.push_back(GroupOfA(GroupPhase::Forming));
  CHECK_EQUAL(0u, Orders(input, 0).size());
  CHECK_EQUAL(4u, Orders(input, 1).at(0).mOrder.mGeneration);
  input.mVms[0].mLastProbe->mStatus.mModel = "m";
  CHECK_EQUAL(1u, Orders(input, 0).size());
}

TEST(OrderDecision, WaitsForAStatusThatReflectsTheLastOrder)
{
  DomainInput input = InputOf("");
  input.mCurrent.mGroups.push_back(GroupOfA(GroupPhase::Forming));
  input.mVms[0].mTimes.mOrderedAt = kNow + milliseconds(1);
  CHECK_EQUAL(0u, Orders(input).size());
}

TEST(OrderDecision, LoadsTheModelOnAsManyIdleVmsAsTheRuleHasSpares)
{
  DomainInput input = InputOf("");
  input.mVms[0].mTimes.mReleaseAcceptedAt = kNow - seconds(2);
  input.mVms[0].mTimes.mFreeSince = kNow - seconds(1);
  const WarmDemand demand{ "workers", "m", 1 };
  const std::vector<DueOrder> due = DecideOrders(input, { demand }, 8, kNow);
  CHECK_EQUAL(1u, due.size());
  STRCMP_EQUAL("m", due[0].mOrder.mModel.c_str());
  CHECK_EQUAL(0u, DecideOrders(input, { demand }, 0, kNow).size());
  input.mVms[0].mLastProbe->mStatus.mModel = "m";
  CHECK_EQUAL(0u, DecideOrders(input, { demand }, 8, kNow).size());
}
