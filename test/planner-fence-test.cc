#include "placement/planner.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr const char* kService = "drafting";
constexpr auto kStep = milliseconds(50);
constexpr auto kMaxOrderDelay = milliseconds(4000);
/// The next planner takes over once the lease of the previous one has ended.
constexpr auto kTakeoverTime = milliseconds(1200);
constexpr int kSteps = 600;

/// A VM that carries out orders of any generation, and what it knows of its
/// groups.
struct UnfencedVm
{
  uint64_t mMaxEpoch = 0;
  std::vector<std::string> mMembers; ///< of its group, the head first
};

/// Planners that follow each other, whose orders arrive up to some seconds
/// late, at VMs that do not compare generations.
class UnfencedWorld
{
public:
  explicit UnfencedWorld(uint32_t aSeed)
    : mRandom(aSeed)
  {
    mEngine.mSlots = 26;
    mEngine.mLoadsPerSecond = 4;
    mEngine.mLoadsAtOnce = 6;
    mEngine.mModels = {
      { "big", 4, 0.57, 1, seconds(16), milliseconds(1600) },
      { "small", 3, 0.43, 0.6, seconds(12), milliseconds(1100) }
    };
    for (int n = 0; n < 18; ++n) {
      AddVm(n, n % 2 == 0 ? "big" : "small");
    }
  }

  void Step()
  {
    mNow += kStep;
    DeliverDue();
    ChangeVms();
    if (Chance(0.02)) {
      mState = MakePlannerState(++mFence);
      mPlansFrom = mNow + kTakeoverTime;
    }
    if (mNow < mPlansFrom) {
      return;
    }
    const PlannerStep step = PlanStep(
      mState, { mListed, kService, mEngine, false }, PlannerLimits{}, mNow);
    for (const FleetOrder& it : step.mOrders) {
      if (Chance(0.2)) {
        const auto delay =
          std::chrono::duration_cast<Duration>(kMaxOrderDelay * Fraction());
        mDelayed.emplace(mNow + delay, it);
        RecordOutcome(
          mState, it, OrderOutcome::NoResponse, { mNow, mNow + kStep });
      } else {
        RecordOutcome(mState, it, CarryOut(it), { mNow, mNow });
      }
    }
  }

  /// @return a member that joined another group while its head served, or a
  ///         head that opened without all its members; empty if there is none
  std::string mBreach;

private:
  double Fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  bool Chance(double aShare) { return Fraction() < aShare; }

  void AddVm(int aNumber, const char* aModel)
  {
    FleetVm vm;
    vm.mId = "vm-" + std::to_string(aNumber);
    vm.mStartedMillis = 1;
    vm.mService = kService;
    vm.mAddress = { "10.0.0.1", static_cast<uint16_t>(1000 + aNumber) };
    vm.mDomain = aNumber % 18 < 9 ? "d0" : "d1";
    vm.mZone = "a";
    vm.mStaged = { aModel };
    mListed[vm.mId] = vm;
  }

  /// Starts a VM again under its id, now and then.
  void ChangeVms()
  {
    for (auto& [id, vm] : mListed) {
      if (Chance(0.001)) {
        if (vm.mMembership) {
          mLost.insert({ id, vm.mMembership->mKey });
        }
        ++vm.mStartedMillis;
        vm.mMembership.reset();
        mVms[id] = {};
      }
    }
  }

  void DeliverDue()
  {
    while (!mDelayed.empty() && mDelayed.begin()->first <= mNow) {
      (void)CarryOut(mDelayed.begin()->second);
      mDelayed.erase(mDelayed.begin());
    }
  }

  bool IsServing(const std::string& aHead, const GroupKey& aKey) const
  {
    const auto it = mListed.find(aHead);
    return it != mListed.end() && IsMemberOf(&it->second, aKey) &&
           IsServingHead(&it->second);
  }

  OrderOutcome CarryOut(const FleetOrder& aOrder)
  {
    FleetVm& vm = mListed[aOrder.mVmId];
    UnfencedVm& state = mVms[aOrder.mVmId];
    if (aOrder.mKind == OrderKind::Join) {
      return Join(vm, state, aOrder);
    }
    if (!IsMemberOf(&vm, aOrder.mGroup)) {
      return OrderOutcome::InvalidState;
    }
    if (aOrder.mKind == OrderKind::Open) {
      for (const std::string& it : state.mMembers) {
        if (!IsMemberOf(&mListed[it], aOrder.mGroup) &&
            !mLost.contains({ it, aOrder.mGroup })) {
          mBreach = "opened without " + it;
        }
      }
      vm.mMembership->mPhase = MembershipPhase::Open;
    } else if (aOrder.mKind == OrderKind::Close) {
      vm.mMembership->mPhase = MembershipPhase::Ready;
    } else {
      vm.mMembership.reset();
    }
    return OrderOutcome::AlreadyDone;
  }

  OrderOutcome Join(FleetVm& aVm, UnfencedVm& aState, const FleetOrder& aOrder)
  {
    if (aOrder.mGroup.mEpoch < aState.mMaxEpoch) {
      return OrderOutcome::Outdated;
    }
    if (IsMemberOf(&aVm, aOrder.mGroup)) {
      return OrderOutcome::AlreadyDone;
    }
    if (aVm.mMembership && !aState.mMembers.empty() &&
        IsServing(aState.mMembers[0], aVm.mMembership->mKey)) {
      mBreach = aVm.mId + " joined while its head served";
    }
    const auto rank =
      std::find(aOrder.mMembers.begin(), aOrder.mMembers.end(), aOrder.mVmId) -
      aOrder.mMembers.begin();
    aVm.mMembership = GroupMembership{ aOrder.mGroup,
                                       static_cast<uint32_t>(rank),
                                       MembershipPhase::Ready,
                                       aOrder.mModel };
    aVm.mStaged = { aOrder.mModel };
    aState = { aOrder.mGroup.mEpoch, aOrder.mMembers };
    return OrderOutcome::Accepted;
  }

  std::mt19937 mRandom;
  EngineSpec mEngine;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mPlansFrom;
  uint64_t mFence = 7;
  PlannerState mState = MakePlannerState(7);
  FleetVms mListed;
  std::map<std::string, UnfencedVm> mVms;
  std::multimap<TimePoint, FleetOrder> mDelayed;
  /// Members that ended; a group may still be opened then.
  std::set<std::pair<std::string, GroupKey>> mLost;
};

} // namespace

TEST_GROUP(PlannerWithoutFence){};

// Guards against orders of an earlier planner that arrive late at VMs which
// carry out orders of any generation: a VM in two groups, or a head that serves
// without all its members.
TEST(PlannerWithoutFence, LateOrdersOfEarlierPlannersBreakNoGroup)
{
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    UnfencedWorld world(seed);
    for (int n = 0; n < kSteps && world.mBreach.empty(); ++n) {
      world.Step();
    }
    STRCMP_EQUAL_TEXT(
      "", world.mBreach.c_str(), ("seed " + std::to_string(seed)).c_str());
  }
}
