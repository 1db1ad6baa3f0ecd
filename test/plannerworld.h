#pragma once

#include "fleet/lapse.h"
#include "placement/planner.h"

#include <algorithm>
#include <string>
#include <vector>

namespace hibiscushold {

/// Simulated VMs that carry out the planner's orders immediately, without a
/// network. Joins and loads take no time; a test selects the VMs that do not
/// respond.
class PlannerWorld
{
public:
  PlannerWorld()
  {
    mEngine.mSlots = 26;
    mEngine.mLoadsPerSecond = 4;
    mEngine.mLoadsAtOnce = 6;
    mEngine.mModels = {
      { "big", 4, 0.57, 1, seconds(16), milliseconds(1600) },
      { "small", 3, 0.43, 0.6, seconds(12), milliseconds(1100) }
    };
  }

  /// Adds VMs to a domain.
  /// @param aModel model on the host of each VM, or empty
  void Add(const std::string& aDomain, size_t aCount, const char* aModel = "")
  {
    const size_t first = CountIn(aDomain);
    for (size_t n = first; n < first + aCount; ++n) {
      FleetVm vm;
      vm.mId = aDomain + "-" + std::to_string(n);
      vm.mStartedMillis = 1;
      vm.mService = kService;
      vm.mAddress = { "10.0.0.1", static_cast<uint16_t>(1000 + mVms.size()) };
      vm.mDomain = aDomain;
      vm.mZone = "a";
      if (*aModel != '\0') {
        vm.mStaged = { aModel };
      }
      mVms[vm.mId] = vm;
    }
  }

  /// Runs one planner step and carries out the orders to VMs that respond.
  /// @param aElapsed time since the previous step
  /// @return the orders
  std::vector<FleetOrder> Step(Duration aElapsed = milliseconds(50))
  {
    mNow += aElapsed;
    ApplyLapses(mVms, mNow);
    std::vector<FleetOrder> orders = PlanOnce();
    // Reports take no time either.
    for (int n = 0; n < 3 && AnswerAsked(); ++n) {
      std::vector<FleetOrder> more = PlanOnce();
      orders.insert(orders.end(), more.begin(), more.end());
    }
    return orders;
  }

  /// Runs planner steps until there are no more orders, at most twenty.
  void Settle()
  {
    Step(seconds(1));
    for (int n = 0; n < 20 && !Step().empty(); ++n) {
    }
  }

  /// Makes a VM stop responding and probes it for long enough that the planner
  /// treats it as unresponsive. It stays in the list.
  void MakeUnresponsive(const std::string& aVmId)
  {
    mUnresponsive.insert(aVmId);
    const TimePoint until = mNow + kSilenceTolerance;
    while (mNow <= until) {
      mNow += kProbeInterval;
      Probe(aVmId);
    }
  }

  /// Removes the VM's entry, though the VM may still respond. It is listed with
  /// what it reported last.
  void Unlist(const std::string& aVmId)
  {
    mUnlisted[aVmId] = mVms.at(aVmId);
    LapseOrRemove(mVms, std::vector{ aVmId }, { mNow, mNow, kLeaveBound });
  }

  /// Lists an unlisted VM again as it is now.
  void ListAgain(const std::string& aVmId)
  {
    mVms[aVmId] = mUnlisted.at(aVmId);
    mUnlisted.erase(aVmId);
  }

  /// Records a probe of the VM that has just ended.
  void Probe(const std::string& aVmId)
  {
    RecordProbe(mState,
                aVmId,
                !mUnresponsive.contains(aVmId),
                { mNow - kProbeTimeout, mNow });
  }

  size_t CountIn(const std::string& aDomain) const
  {
    return static_cast<size_t>(
      std::count_if(mVms.begin(), mVms.end(), [&](const auto& it) {
        return it.second.mDomain == aDomain;
      }));
  }

  /// @return the heads of open groups of the model
  std::vector<std::string> OpenHeads(const std::string& aModel) const
  {
    std::vector<std::string> heads;
    for (const auto& [id, vm] : mVms) {
      if (vm.mMembership && vm.mMembership->mModel == aModel &&
          vm.mMembership->mPhase == MembershipPhase::Open) {
        heads.push_back(id);
      }
    }
    return heads;
  }

  const FleetOrder* FindOrder(const std::vector<FleetOrder>& aOrders,
                              OrderKind aKind,
                              const std::string& aVmId) const
  {
    const auto found =
      std::find_if(aOrders.begin(), aOrders.end(), [&](const FleetOrder& it) {
        return it.mKind == aKind && it.mVmId == aVmId;
      });
    return found == aOrders.end() ? nullptr : &*found;
  }

  std::vector<std::string> MembersOf(const std::string& aHead) const
  {
    return ServingMembers(mState, aHead);
  }

  static constexpr const char* kService = "drafting";
  static constexpr auto kLeaveBound = milliseconds(3000);
  static constexpr auto kProbeTimeout = milliseconds(120);
  static constexpr auto kProbeInterval = milliseconds(160);

  FleetVms mVms;
  EngineSpec mEngine;
  PlannerLimits mLimits;
  TimePoint mNow{ std::chrono::hours(1) };
  PlannerState mState = MakePlannerState(7);
  bool mBeforeTraffic = false;
  ZonesOut mZones;                     ///< out of service
  bool mLoadsNeverEnd = false;         ///< otherwise they take no time
  std::set<std::string> mUnresponsive; ///< VMs that do not respond
  FleetVms mUnlisted;                  ///< VMs without an entry, as they are

  /// A VM that joined another group while the head of its own was open; empty
  /// if there is none.
  std::string mTwo;
  bool mTellsMembership = true;    ///< whether reports have a readable group
  std::set<std::string> mReported; ///< VMs that were asked for their reports
  /// VMs as they are, where their entries show something else.
  FleetVms mActual;

private:
  std::vector<FleetOrder> PlanOnce()
  {
    PlannerStep step =
      PlanStep(mState,
               { mVms, kService, mEngine, mBeforeTraffic, &mZones },
               mLimits,
               mNow);
    for (const FleetOrder& it : step.mOrders) {
      RecordOutcome(mState, it, CarryOut(it), { mNow, mNow });
    }
    mAsked = std::move(step.mToAsk);
    return std::move(step.mOrders);
  }

  /// @return the VM as it is, or null if it does not respond
  FleetVm* Reach(const std::string& aVmId)
  {
    FleetVms& vms = mActual.contains(aVmId)     ? mActual
                    : mUnlisted.contains(aVmId) ? mUnlisted
                                                : mVms;
    const auto it = vms.find(aVmId);
    const bool responds = it != vms.end() && !mUnresponsive.contains(aVmId);
    return responds ? &it->second : nullptr;
  }

  /// Records the reports of the VMs that the last step asked for.
  /// @return whether any responded
  bool AnswerAsked()
  {
    bool answered = false;
    for (const std::string& it : mAsked) {
      const FleetVm* vm = Reach(it);
      if (vm == nullptr) {
        continue;
      }
      EngineReport report;
      report.mTellsMembership = mTellsMembership;
      if (mTellsMembership) {
        report.mMembership = vm->mMembership;
      }
      report.mOrderCount = mOrderCounts[it];
      report.mStartedMillis = vm->mStartedMillis;
      RecordReport(mState, it, report, { mNow, mNow });
      mReported.insert(it);
      answered = true;
    }
    return answered;
  }

  void CheckTwo(const FleetVm& aVm)
  {
    for (const auto& [id, listed] : mVms) {
      const auto actual = mActual.find(id);
      const FleetVm& vm = actual == mActual.end() ? listed : actual->second;
      if (aVm.mMembership && IsMemberOf(&vm, aVm.mMembership->mKey) &&
          IsServingHead(&vm)) {
        mTwo = aVm.mId;
      }
    }
  }

  OrderOutcome CarryOut(const FleetOrder& aOrder)
  {
    FleetVm* reached = Reach(aOrder.mVmId);
    if (reached == nullptr) {
      return OrderOutcome::NoResponse;
    }
    FleetVm& vm = *reached;
    uint64_t& count = mOrderCounts[aOrder.mVmId];
    if (aOrder.mExpectedCount.value_or(count) != count) {
      return OrderOutcome::InvalidState;
    }
    if (aOrder.mKind == OrderKind::Join) {
      if (IsMemberOf(&vm, aOrder.mGroup)) {
        return OrderOutcome::AlreadyDone;
      }
      CheckTwo(vm);
      const auto rank = std::find(aOrder.mMembers.begin(),
                                  aOrder.mMembers.end(),
                                  aOrder.mVmId) -
                        aOrder.mMembers.begin();
      const bool loads = mLoadsNeverEnd && !HasModel(vm, aOrder.mModel);
      vm.mMembership = GroupMembership{ aOrder.mGroup,
                                        static_cast<uint32_t>(rank),
                                        loads ? MembershipPhase::Joining
                                              : MembershipPhase::Ready,
                                        aOrder.mModel };
      if (!loads) {
        vm.mStaged = { aOrder.mModel };
      }
      ++count;
      return OrderOutcome::Accepted;
    }
    if (!vm.mMembership || vm.mMembership->mKey != aOrder.mGroup) {
      return OrderOutcome::InvalidState;
    }
    switch (aOrder.mKind) {
      case OrderKind::Open:
        vm.mMembership->mPhase = MembershipPhase::Open;
        break;
      case OrderKind::Close:
        vm.mMembership->mPhase = MembershipPhase::Ready;
        break;
      default:
        vm.mMembership.reset();
    }
    ++count;
    return OrderOutcome::AlreadyDone;
  }

  std::set<std::string> mAsked; ///< by the last step
  std::map<std::string, uint64_t> mOrderCounts;
};

} // namespace hibiscushold
