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
    PlannerStep step =
      PlanStep(mState,
               { mVms, kService, mEngine, mBeforeTraffic, &mZones },
               mLimits,
               mNow);
    for (const FleetOrder& it : step.mOrders) {
      RecordOutcome(mState, it, CarryOut(it), { mNow, mNow });
    }
    return std::move(step.mOrders);
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

private:
  OrderOutcome CarryOut(const FleetOrder& aOrder)
  {
    FleetVms& vms = mUnlisted.contains(aOrder.mVmId) ? mUnlisted : mVms;
    const auto it = vms.find(aOrder.mVmId);
    if (it == vms.end() || mUnresponsive.contains(aOrder.mVmId)) {
      return OrderOutcome::NoResponse;
    }
    FleetVm& vm = it->second;
    if (aOrder.mKind == OrderKind::Join) {
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
    return OrderOutcome::AlreadyDone;
  }
};

} // namespace hibiscushold
