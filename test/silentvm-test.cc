#include "plannerworld.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Silence of a sound VM.
constexpr auto kSilence = milliseconds(1200);
/// A VM that is silent for good must be given up within this time.
constexpr auto kGivenUpWithin = milliseconds(2000);
/// Time between the planner's steps.
constexpr auto kStepInterval = milliseconds(40);
constexpr int kStepsPerProbe = 4;

} // namespace

TEST_GROUP(SilentVm)
{
  PlannerWorld mWorld;
  std::string mHead;
  std::vector<std::string> mMembers;

  void FormGroup()
  {
    mWorld.Add("d0", 9, "big");
    mWorld.Settle();
    mHead = mWorld.OpenHeads("big").front();
    mMembers = mWorld.MembersOf(mHead);
  }

  /// Probes the members of the group and runs the planner for a time.
  /// @return all its orders
  std::vector<FleetOrder> Run(Duration aFor)
  {
    std::vector<FleetOrder> all;
    const TimePoint end = mWorld.mNow + aFor;
    for (int n = 0; mWorld.mNow < end; ++n) {
      if (n % kStepsPerProbe == 0) {
        for (const std::string& it : mMembers) {
          mWorld.Probe(it);
        }
      }
      for (FleetOrder& it : mWorld.Step(kStepInterval)) {
        all.push_back(std::move(it));
      }
    }
    return all;
  }

  void CheckKept(const std::vector<FleetOrder>& aOrders)
  {
    for (const std::string& it : mMembers) {
      CHECK(mWorld.FindOrder(aOrders, OrderKind::Leave, it) == nullptr);
      CHECK(mWorld.FindOrder(aOrders, OrderKind::Join, it) == nullptr);
    }
    CHECK(mWorld.MembersOf(mHead) == mMembers);
  }

  /// Lets a VM fall silent for about a second, and checks that the group is
  /// kept during that time and afterwards.
  void CheckSurvivesSilenceOf(const std::string& aVmId)
  {
    mWorld.mUnresponsive.insert(aVmId);
    CheckKept(Run(kSilence));
    mWorld.mUnresponsive.clear();
    CheckKept(Run(seconds(3)));
  }

  /// Lets a VM fall silent for good, and checks that its group is given up.
  void CheckGivenUp(const std::string& aVmId)
  {
    mWorld.mUnresponsive.insert(aVmId);
    const std::vector<FleetOrder> orders = Run(kGivenUpWithin);
    CHECK(mWorld.FindOrder(orders, OrderKind::Leave, mHead) != nullptr);
    CHECK(mWorld.MembersOf(mHead) != mMembers);
  }
};

// Guards against dissolving a group, which cuts its streams, because a sound
// member is silent for about a second.
TEST(SilentVm, AGroupKeepsAMemberThatGoesOnAfterASecond)
{
  FormGroup();
  CheckSurvivesSilenceOf(mMembers.back());
}

// Guards against the same for the head.
TEST(SilentVm, AGroupKeepsAHeadThatGoesOnAfterASecond)
{
  FormGroup();
  CheckSurvivesSilenceOf(mHead);
}

// Guards against adding up several short silences.
TEST(SilentVm, AResponseEndsTheSilence)
{
  FormGroup();
  for (int n = 0; n < 3; ++n) {
    mWorld.mUnresponsive.insert(mHead);
    CheckKept(Run(kSilence));
    mWorld.mUnresponsive.clear();
    CheckKept(Run(kStepInterval * kStepsPerProbe));
  }
}

// Guards against giving up a joining group because a member does not respond to
// orders for about a second.
TEST(SilentVm, AFormingGroupWaitsForAMemberThatGoesOnAfterASecond)
{
  mWorld.mBeforeTraffic = true;
  mWorld.Add("d0", 4, "big");
  mWorld.Step();
  mWorld.mUnresponsive.insert("d0-1");
  const std::vector<FleetOrder> first = mWorld.Step(seconds(1));
  const FleetOrder* join = mWorld.FindOrder(first, OrderKind::Join, "d0-1");
  CHECK(join != nullptr);
  Run(kSilence);
  mWorld.mUnresponsive.clear();
  mWorld.Settle();
  CHECK_EQUAL(1U, mWorld.OpenHeads("big").size());
  CHECK(mWorld.mVms["d0-1"].mMembership.has_value());
  CHECK(mWorld.mVms["d0-1"].mMembership->mKey == join->mGroup);
}

// Guards against keeping a group whose member is lost.
TEST(SilentVm, AMemberThatIsSilentForGoodIsGivenUp)
{
  FormGroup();
  CheckGivenUp(mMembers.back());
  mWorld.Settle();
  CHECK_EQUAL(2U, mWorld.OpenHeads("big").size());
  CHECK(mWorld.mVms[mMembers.back()].mMembership->mKey !=
        mWorld.mVms[mHead].mMembership->mKey);
}

// Guards against keeping a group whose head is lost.
TEST(SilentVm, AHeadThatIsSilentForGoodIsGivenUp)
{
  FormGroup();
  CheckGivenUp(mHead);
}

// Guards against counting the time in which this node itself stood still as a
// silence of the VM.
TEST(SilentVm, APauseOfThePlannerIsNoSilence)
{
  FormGroup();
  mWorld.mUnresponsive.insert(mHead);
  Run(milliseconds(500));
  mWorld.mNow += seconds(5);
  CheckKept(Run(kSilence));
}

// Guards against counting calls whose responses this node was too late to read.
TEST(SilentVm, ACallThatWasHeldUpHereShowsNoSilence)
{
  FormGroup();
  for (int n = 0; n < 10; ++n) {
    mWorld.mNow += seconds(1);
    RecordProbe(
      mWorld.mState, mHead, false, { mWorld.mNow - seconds(1), mWorld.mNow });
    CHECK(mWorld.Step().empty());
  }
}

// Guards against counting a call that was lost although the VM has responded to
// a later one.
TEST(SilentVm, ACallSentBeforeAResponseShowsNoSilence)
{
  VmSilence silence;
  const TimePoint start = mWorld.mNow;
  RecordResponse(silence,
                 { start + milliseconds(10), start + milliseconds(11) });
  RecordMiss(silence, { start, start + milliseconds(120) });
  CHECK_EQUAL(0U, silence.mMisses);
}

// Guards against forming a group with a VM that did not respond to its latest
// call.
TEST(SilentVm, AVmInDoubtIsNotAddedToAGroup)
{
  mWorld.Add("d0", 5, "big");
  PlannedVm& planned = mWorld.mState.mVms["d0-0"];
  planned.mStartedMillis = mWorld.mVms["d0-0"].mStartedMillis;
  mWorld.mUnresponsive.insert("d0-0");
  mWorld.Probe("d0-0");
  const std::vector<FleetOrder> orders = mWorld.Step();
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, "d0-0") == nullptr);
  CHECK(mWorld.FindOrder(orders, OrderKind::Join, "d0-4") != nullptr);
}
