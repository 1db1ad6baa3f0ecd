#pragma once

#include "placement/planner.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// What goes wrong in an UnsureFleet.
struct UnsureFleetFaults
{
  bool mIgnoresFences = false; ///< VMs carry out orders of any lease
  double mLostEntries = 0;     ///< share of the writes of entries
  double mLateEntries = 0;     ///< share that the store executes late
};

/// Planners that follow each other, whose orders arrive up to some seconds
/// late, at VMs whose entries may be lost or written late. Each planner knows
/// only what it reads.
class UnsureFleet
{
public:
  static constexpr int kVms = 18;

  UnsureFleet(uint32_t aSeed, UnsureFleetFaults aFaults)
    : mFaults(aFaults)
    , mRandom(aSeed)
  {
    mEngine.mSlots = 26;
    mEngine.mLoadsPerSecond = 4;
    mEngine.mLoadsAtOnce = 6;
    mEngine.mModels = {
      { "big", 4, 0.57, 1, seconds(16), milliseconds(1600) },
      { "small", 3, 0.43, 0.6, seconds(12), milliseconds(1100) }
    };
    for (int n = 0; n < kVms; ++n) {
      AddVm(n, n % 2 == 0 ? "big" : "small");
    }
    mListed = mActual;
  }

  void Step()
  {
    mNow += kStep;
    DeliverDue();
    RestartSome();
    WriteDue();
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
      Send(it);
    }
    for (const std::string& it : step.mToAsk) {
      if (!Chance(0.2)) {
        Report(it);
      }
    }
    mJoins += CountJoins(step);
  }

  /// A member that joined another group while its head served, or a head that
  /// opened although a member never was ready; empty if there is none.
  std::string mBreach;
  /// A head that opened without a member that still runs; empty if there is
  /// none. Late orders to an earlier life of the head don't count: that the
  /// head is lost frees the members.
  std::string mOpenedIncomplete;
  size_t mJoins = 0; ///< orders to join so far

private:
  static constexpr const char* kService = "drafting";
  static constexpr auto kStep = milliseconds(50);
  static constexpr auto kBeat = milliseconds(1200);
  static constexpr auto kMinEntryDelay = milliseconds(1000);
  static constexpr auto kMaxEntryDelay = milliseconds(6000);
  static constexpr auto kMaxOrderDelay = milliseconds(4000);
  /// The next planner takes over once the lease of the previous one has ended.
  static constexpr auto kTakeoverTime = milliseconds(1200);

  /// What a VM knows of its groups beside its membership.
  struct Life
  {
    uint64_t mMaxFence = 0;
    uint64_t mMaxEpoch = 0;
    uint64_t mOrders = 0;
    std::vector<std::string> mMembers{}; ///< of its group, the head first
    TimePoint mNextBeatAt{};
  };

  double Fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  bool Chance(double aShare) { return Fraction() < aShare; }
  Duration FractionOf(Duration aTime)
  {
    return std::chrono::duration_cast<Duration>(aTime * Fraction());
  }

  static size_t CountJoins(const PlannerStep& aStep)
  {
    return static_cast<size_t>(std::count_if(
      aStep.mOrders.begin(), aStep.mOrders.end(), [](const FleetOrder& it) {
        return it.mKind == OrderKind::Join;
      }));
  }

  void AddVm(int aNumber, const char* aModel)
  {
    FleetVm vm;
    vm.mId = "vm-" + std::to_string(aNumber);
    vm.mStartedMillis = 1;
    vm.mService = kService;
    vm.mAddress = { "10.0.0.1", static_cast<uint16_t>(1000 + aNumber) };
    vm.mDomain = aNumber < kVms / 2 ? "d0" : "d1";
    vm.mZone = "a";
    vm.mStaged = { aModel };
    mActual[vm.mId] = vm;
    mLives[vm.mId].mNextBeatAt = mNow + FractionOf(kBeat);
  }

  /// Starts a VM again under its id, now and then.
  void RestartSome()
  {
    for (auto& [id, vm] : mActual) {
      if (!Chance(0.001)) {
        continue;
      }
      if (vm.mMembership) {
        mLost.insert({ id, vm.mMembership->mKey });
      }
      ++vm.mStartedMillis;
      vm.mMembership.reset();
      mLives[id] = {};
      Write(id);
    }
  }

  /// Writes the entry of a VM; the store may lose the write or be late.
  void Write(const std::string& aId)
  {
    mLives[aId].mNextBeatAt = mNow + kBeat;
    if (Chance(mFaults.mLostEntries)) {
      return;
    }
    const bool isLate = Chance(mFaults.mLateEntries);
    const Duration delay =
      isLate ? kMinEntryDelay + FractionOf(kMaxEntryDelay - kMinEntryDelay)
             : Duration::zero();
    mWrites.emplace(mNow + delay, mActual[aId]);
  }

  void WriteDue()
  {
    for (const auto& [id, life] : mLives) {
      if (mNow >= life.mNextBeatAt) {
        Write(id);
      }
    }
    while (!mWrites.empty() && mWrites.begin()->first <= mNow) {
      mListed[mWrites.begin()->second.mId] = mWrites.begin()->second;
      mWrites.erase(mWrites.begin());
    }
  }

  void DeliverDue()
  {
    while (!mDelayed.empty() && mDelayed.begin()->first <= mNow) {
      (void)CarryOut(mDelayed.begin()->second);
      mDelayed.erase(mDelayed.begin());
    }
  }

  void Send(const FleetOrder& aOrder)
  {
    if (Chance(0.2)) {
      mDelayed.emplace(mNow + FractionOf(kMaxOrderDelay), aOrder);
      RecordOutcome(
        mState, aOrder, OrderOutcome::NoResponse, { mNow, mNow + kStep });
    } else {
      RecordOutcome(mState, aOrder, CarryOut(aOrder), { mNow, mNow });
    }
  }

  void Report(const std::string& aId)
  {
    EngineReport report;
    report.mMembership = mActual[aId].mMembership;
    report.mStartedMillis = mActual[aId].mStartedMillis;
    report.mOrderCount = mLives[aId].mOrders;
    RecordReport(mState, aId, report, { mNow, mNow });
  }

  bool IsServing(const std::string& aHead, const GroupKey& aKey) const
  {
    const auto it = mActual.find(aHead);
    return it != mActual.end() && IsMemberOf(&it->second, aKey) &&
           IsServingHead(&it->second);
  }

  OrderOutcome CarryOut(const FleetOrder& aOrder)
  {
    FleetVm& vm = mActual[aOrder.mVmId];
    Life& life = mLives[aOrder.mVmId];
    if (!mFaults.mIgnoresFences && aOrder.mFence < life.mMaxFence) {
      return OrderOutcome::Outdated;
    }
    life.mMaxFence = std::max(life.mMaxFence, aOrder.mFence);
    if (aOrder.mExpectedCount.value_or(life.mOrders) != life.mOrders) {
      return OrderOutcome::InvalidState;
    }
    const OrderOutcome outcome = aOrder.mKind == OrderKind::Join
                                   ? Join(vm, life, aOrder)
                                   : Change(vm, life, aOrder);
    if (outcome == OrderOutcome::Accepted) {
      ++life.mOrders;
      Write(vm.mId);
    }
    return outcome;
  }

  OrderOutcome Change(FleetVm& aVm, const Life& aLife, const FleetOrder& aOrder)
  {
    if (!IsMemberOf(&aVm, aOrder.mGroup)) {
      return OrderOutcome::InvalidState;
    }
    if (aOrder.mKind == OrderKind::Open) {
      if (IsServingHead(&aVm)) {
        return OrderOutcome::AlreadyDone;
      }
      for (const std::string& it : aLife.mMembers) {
        if (!mReady.contains({ it, aOrder.mGroup })) {
          mBreach = it + " was never ready";
        }
        const bool isLateToNewLife =
          mReady[{ aVm.mId, aOrder.mGroup }] != aVm.mStartedMillis;
        if (!IsMemberOf(&mActual[it], aOrder.mGroup) &&
            !mLost.contains({ it, aOrder.mGroup }) && !isLateToNewLife) {
          mOpenedIncomplete = "opened without " + it;
        }
      }
      aVm.mMembership->mPhase = MembershipPhase::Open;
    } else if (aOrder.mKind == OrderKind::Close) {
      aVm.mMembership->mPhase = MembershipPhase::Ready;
    } else {
      aVm.mMembership.reset();
    }
    return OrderOutcome::Accepted;
  }

  OrderOutcome Join(FleetVm& aVm, Life& aLife, const FleetOrder& aOrder)
  {
    if (aOrder.mGroup.mEpoch < aLife.mMaxEpoch) {
      return OrderOutcome::Outdated;
    }
    if (IsMemberOf(&aVm, aOrder.mGroup)) {
      return OrderOutcome::AlreadyDone;
    }
    if (aVm.mMembership && !aLife.mMembers.empty() &&
        IsServing(aLife.mMembers[0], aVm.mMembership->mKey)) {
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
    mReady.try_emplace({ aVm.mId, aOrder.mGroup }, aVm.mStartedMillis);
    aLife.mMaxEpoch = aOrder.mGroup.mEpoch;
    aLife.mMembers = aOrder.mMembers;
    return OrderOutcome::Accepted;
  }

  const UnsureFleetFaults mFaults;
  std::mt19937 mRandom;
  EngineSpec mEngine;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mPlansFrom;
  uint64_t mFence = 7;
  PlannerState mState = MakePlannerState(7);
  FleetVms mActual; ///< the VMs as they are
  FleetVms mListed; ///< as their entries show them
  std::map<std::string, Life> mLives;
  std::multimap<TimePoint, FleetVm> mWrites; ///< not executed yet
  std::multimap<TimePoint, FleetOrder> mDelayed;
  /// Members that ended; a group may still be opened then.
  std::set<std::pair<std::string, GroupKey>> mLost;
  /// Starts of the VMs when they first were ready in a group.
  std::map<std::pair<std::string, GroupKey>, uint64_t> mReady;
};

} // namespace hibiscushold
