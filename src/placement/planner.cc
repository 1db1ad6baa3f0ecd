#include "placement/planner.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Number of low bits of an epoch that count the groups of one lease; the bits
/// above hold its fencing number.
constexpr unsigned kEpochBitsPerLease = 10;

/// @return whether the VM is the head of the group, which may have been removed
///         from the plan before the head could be reached
bool
IsHead(const PlannerState& aState,
       const GroupKey& aKey,
       const std::string& aVmId)
{
  const auto group = aState.mGroups.find(aKey);
  if (group != aState.mGroups.end()) {
    return group->second.mMembers[0] == aVmId;
  }
  const auto head = aState.mUnreachableHeads.find(aKey);
  return head != aState.mUnreachableHeads.end() && head->second == aVmId;
}

/// Updates the state with the outcome of a join. Joins of groups that are no
/// longer planned are ignored.
void
RecordJoin(PlannerState& aState,
           const FleetOrder& aOrder,
           OrderOutcome aOutcome,
           TimePoint aNow)
{
  const auto group = aState.mGroups.find(aOrder.mGroup);
  if (group == aState.mGroups.end()) {
    return;
  }
  if (aOutcome == OrderOutcome::Accepted ||
      aOutcome == OrderOutcome::AlreadyDone) {
    aState.mVms[aOrder.mVmId].mLastStartedModel.clear();
    return;
  }
  // A VM that carried out another number of orders is asked for its report.
  const bool isUnexpected =
    aOutcome == OrderOutcome::InvalidState && aOrder.mExpectedCount;
  // The group cannot be formed: the next step dissolves it, as its deadline has
  // passed.
  if (aOutcome != OrderOutcome::NoResponse && !isUnexpected) {
    group->second.mDeadline = aNow;
    aState.mVms[aOrder.mVmId].mLockedUntil = aNow + kOrderRepeatInterval;
  }
}

} // namespace

PlannerState
MakePlannerState(uint64_t aFence)
{
  PlannerState state;
  state.mFence = aFence;
  state.mLastEpoch = aFence << kEpochBitsPerLease;
  return state;
}

bool
IsOfLease(const PlannerState& aState, const GroupKey& aKey)
{
  return aKey.mEpoch >> kEpochBitsPerLease == aState.mFence;
}

bool
IsInZoneOut(const PlannerView& aView, const FleetVm& aVm)
{
  return aView.mZones != nullptr && IsOut(*aView.mZones, aVm.mZone);
}

std::set<std::string>
FindUnformableModels(const PlannerView& aView)
{
  std::map<std::string, size_t> domains;
  size_t largest = 0;
  for (const auto& [id, vm] : aView.mVms) {
    if (vm.mService == aView.mService) {
      largest = std::max(largest, ++domains[vm.mDomain]);
    }
  }
  std::set<std::string> models;
  for (const FleetModel& it : aView.mEngine.mModels) {
    if (it.mSize > largest || !(it.mShare > 0)) {
      models.insert(it.mName);
    }
  }
  return models;
}

PlannerCounts
CountVms(const PlannerState& aState, const PlannerView& aView, TimePoint aNow)
{
  std::map<std::string, GroupStage> stages;
  for (const auto& [key, group] : aState.mGroups) {
    for (const std::string& it : group.mMembers) {
      stages[it] = group.mStage;
    }
  }
  PlannerCounts counts;
  for (const auto& [id, vm] : aView.mVms) {
    const auto planned = aState.mVms.find(id);
    if (vm.mService != aView.mService || planned == aState.mVms.end()) {
      continue;
    }
    const auto stage = stages.find(id);
    ++counts.mListed;
    counts.mLapsed += IsLapsed(&vm) ? 1 : 0;
    if (vm.mState == VmState::Leaving) {
      ++counts.mLeaving;
    } else if (IsUnresponsive(planned->second.mSilence, aNow)) {
      ++counts.mUnresponsive;
    } else if (stage != stages.end()) {
      const bool loading = planned->second.mLoadingUntil > aNow;
      ++(stage->second == GroupStage::Serving ? counts.mServing
         : loading                            ? counts.mLoading
                                              : counts.mForming);
    } else if (IsLocked(aState, aView.mVms, id, aNow)) {
      ++counts.mLocked;
    } else if (!IsLapsed(&vm)) {
      ++counts.mFree;
      const std::string model = vm.mStaged.empty() ? "" : vm.mStaged.back();
      ++counts.mFreeByModel[{ vm.mDomain, model }];
    }
  }
  return counts;
}

bool
IsLost(const PlannerState& aState,
       const FleetVms& aVms,
       const std::string& aVmId,
       TimePoint aNow)
{
  const auto it = aState.mVms.find(aVmId);
  if (it == aState.mVms.end()) {
    return false;
  }
  const VmSilence& silence = it->second.mSilence;
  return IsLapsed(FindVm(aVms, aVmId)) ? IsLostAfterLapse(silence, aNow)
                                       : IsUnresponsive(silence, aNow);
}

bool
IsLostMember(const PlannerState& aState,
             const FleetVms& aVms,
             const GroupKey& aKey,
             const std::string& aVmId,
             TimePoint aNow)
{
  const FleetVm* vm = FindVm(aVms, aVmId);
  return !IsMemberOf(vm, aKey) ||
         vm->mMembership->mPhase == MembershipPhase::Broken ||
         IsLost(aState, aVms, aVmId, aNow);
}

void
RecordOutcome(PlannerState& aState,
              const FleetOrder& aOrder,
              OrderOutcome aOutcome,
              const CallTimes& aTimes)
{
  RecordProbe(
    aState, aOrder.mVmId, aOutcome != OrderOutcome::NoResponse, aTimes);
  RecordOrder(aState.mVms[aOrder.mVmId].mFacts, aOrder, aOutcome);
  if (aOrder.mKind == OrderKind::Join) {
    RecordJoin(aState, aOrder, aOutcome, aTimes.mEndedAt);
    return;
  }
  const bool hasLeft =
    aOrder.mKind == OrderKind::Leave && (aOutcome == OrderOutcome::Accepted ||
                                         aOutcome == OrderOutcome::AlreadyDone);
  if (!hasLeft) {
    return;
  }
  PlannedVm& planned = aState.mVms[aOrder.mVmId];
  if (IsHead(aState, aOrder.mGroup, aOrder.mVmId)) {
    for (auto& [id, vm] : aState.mVms) {
      if (vm.mLockedGroup == aOrder.mGroup) {
        vm.mLockedUntil = {};
      }
    }
    aState.mUnreachableHeads.erase(aOrder.mGroup);
    aState.mDissolved[aOrder.mGroup] = aTimes.mEndedAt + kOrderRepeatInterval;
    aState.mGroups.erase(aOrder.mGroup);
  } else if (planned.mLockedGroup == aOrder.mGroup) {
    planned.mHasLeft = true;
  }
}

void
RecordReport(PlannerState& aState,
             const std::string& aVmId,
             const EngineReport& aReport,
             const CallTimes& aTimes)
{
  RecordProbe(aState, aVmId, true, aTimes);
  PlannedVm& planned = aState.mVms[aVmId];
  const uint64_t startedMillis = aReport.mStartedMillis == 0
                                   ? planned.mStartedMillis
                                   : aReport.mStartedMillis;
  const bool isOtherLife = startedMillis < planned.mStartedMillis &&
                           startedMillis != planned.mListedMillis;
  if (isOtherLife || !aReport.mTellsMembership) {
    return;
  }
  planned.mStartedMillis = startedMillis;
  RecordReport(planned.mFacts, aReport);
}

void
RecordProbe(PlannerState& aState,
            const std::string& aVmId,
            bool aResponded,
            const CallTimes& aTimes)
{
  VmSilence& silence = aState.mVms[aVmId].mSilence;
  if (aResponded) {
    RecordResponse(silence, aTimes);
  } else {
    RecordMiss(silence, aTimes);
  }
}

bool
IsLocked(const PlannerState& aState,
         const FleetVms& aVms,
         const std::string& aVmId,
         TimePoint aNow)
{
  const auto it = aState.mVms.find(aVmId);
  if (it == aState.mVms.end() || it->second.mLockedUntil <= aNow) {
    return false;
  }
  const PlannedVm& planned = it->second;
  const auto head = aState.mVms.find(planned.mLockedHead);
  if (head == aState.mVms.end()) {
    return true;
  }
  const FleetVm* listedHead = FindVm(aVms, planned.mLockedHead);
  if (listedHead != nullptr && !IsLapsed(listedHead)) {
    return IsMemberOf(listedHead, planned.mLockedGroup);
  }
  // A head that is neither listed nor responds may be cut off from the planner
  // only, and serve as long as its members stay.
  const FleetVm* vm = FindVm(aVms, aVmId);
  const bool hasLeft = planned.mHasLeft ||
                       (vm != nullptr && !IsMemberOf(vm, planned.mLockedGroup));
  return !hasLeft || !ExceedsTolerance(head->second.mSilence);
}

std::vector<std::string>
ServingMembers(const PlannerState& aState, const std::string& aHead)
{
  for (const auto& [key, group] : aState.mGroups) {
    if (group.mStage == GroupStage::Serving && group.mMembers[0] == aHead) {
      return group.mMembers;
    }
  }
  return {};
}

} // namespace hibiscushold
