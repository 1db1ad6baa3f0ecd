#include "fleet/planner.h"

namespace hibiscushold {

namespace {

/// A VM that left this many questions in a row unanswered counts as silent.
constexpr uint32_t kSilentAfter = 2;
/// A silent VM is not used for so long; the platform's list drops a dead one
/// within three of its intervals.
constexpr auto kSilence = milliseconds(5000);
/// Bits of an epoch below the fencing number, for the groups of one planner.
constexpr unsigned kEpochBits = 10;

void
NoteSilence(VmBelief& aBelief, TimePoint aNow)
{
  if (++aBelief.mFailures >= kSilentAfter) {
    aBelief.mSilentUntil = aNow + kSilence;
  }
}

/// An order whose group is no longer planned changes nothing.
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
  if (aOutcome == OrderOutcome::Begun || aOutcome == OrderOutcome::Done) {
    aState.mVms[aOrder.mVmId].mLastModel.clear();
    return;
  }
  // The group cannot come to be; its deadline ends it in the next step.
  if (aOutcome != OrderOutcome::Unknown) {
    group->second.mDeadline = aNow;
    aState.mVms[aOrder.mVmId].mLockedUntil = aNow + kOrderAgain;
  }
}

} // namespace

PlannerState
StartPlanning(uint64_t aFence)
{
  PlannerState state;
  state.mFence = aFence;
  state.mLastEpoch = aFence << kEpochBits;
  return state;
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
    const auto belief = aState.mVms.find(id);
    if (vm.mService != aView.mService || belief == aState.mVms.end()) {
      continue;
    }
    const auto stage = stages.find(id);
    ++counts.mLive;
    if (vm.mState == VmState::Leaving) {
      ++counts.mLeaving;
    } else if (belief->second.mSilentUntil > aNow) {
      ++counts.mSilent;
    } else if (stage != stages.end()) {
      const bool loading = belief->second.mLoadingUntil > aNow;
      ++(stage->second == GroupStage::Serving ? counts.mServing
         : loading                            ? counts.mLoading
                                              : counts.mForming);
    } else if (IsLocked(aState, aView.mVms, id, aNow)) {
      ++counts.mLocked;
    } else {
      ++counts.mSpare;
      const std::string model = vm.mStaged.empty() ? "" : vm.mStaged.back();
      ++counts.mSpares[{ vm.mDomain, model }];
    }
  }
  return counts;
}

void
RecordOutcome(PlannerState& aState,
              const FleetOrder& aOrder,
              OrderOutcome aOutcome,
              TimePoint aNow)
{
  VmBelief& belief = aState.mVms[aOrder.mVmId];
  if (aOutcome == OrderOutcome::Unknown) {
    NoteSilence(belief, aNow);
  } else {
    belief.mFailures = 0;
    belief.mSilentUntil = {};
  }
  if (aOrder.mKind == OrderKind::Join) {
    RecordJoin(aState, aOrder, aOutcome, aNow);
    return;
  }
  const auto group = aState.mGroups.find(aOrder.mGroup);
  const bool left =
    aOrder.mKind == OrderKind::Leave &&
    (aOutcome == OrderOutcome::Begun || aOutcome == OrderOutcome::Done) &&
    group != aState.mGroups.end() && group->second.mMembers[0] == aOrder.mVmId;
  if (left) {
    for (const std::string& it : group->second.mMembers) {
      aState.mVms[it].mLockedUntil = {};
    }
    aState.mUnheard.erase(aOrder.mGroup);
    aState.mDissolved[aOrder.mGroup] = aNow + kOrderAgain;
    aState.mGroups.erase(group);
  }
}

void
RecordAnswer(PlannerState& aState,
             const std::string& aVmId,
             bool aAnswered,
             TimePoint aNow)
{
  VmBelief& belief = aState.mVms[aVmId];
  if (aAnswered) {
    belief.mFailures = 0;
    belief.mSilentUntil = {};
  } else {
    NoteSilence(belief, aNow);
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
  const VmBelief& belief = it->second;
  const auto head = aState.mVms.find(belief.mLockedBy);
  if (head == aState.mVms.end()) {
    return true;
  }
  const FleetVm* vm = FindVm(aVms, belief.mLockedBy);
  if (vm != nullptr) {
    return IsSeatedIn(vm, belief.mLockedIn);
  }
  // Neither the platform nor this node hears of it.
  return head->second.mFailures < kSilentAfter;
}

std::vector<std::string>
MembersToAsk(const PlannerState& aState, const std::string& aHead)
{
  for (const auto& [key, group] : aState.mGroups) {
    if (group.mStage == GroupStage::Serving && group.mMembers[0] == aHead) {
      return group.mMembers;
    }
  }
  return {};
}

} // namespace hibiscushold
