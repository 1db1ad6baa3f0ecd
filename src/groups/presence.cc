#include "groups/presence.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// @return whether the VM no longer works for the group, or is gone. A status
///         from before the release doesn't count. If the engines don't check
///         fencing numbers, neither does a status from a time at which an order
///         could still be in flight.
bool
IsReleased(const DomainInput& aInput,
           const Group& aGroup,
           const GroupMember& aMember,
           FencingMode aFencing,
           TimePoint aPhaseSince,
           TimePoint aNow)
{
  const ObservedVm* vm = FindVm(aInput.mVms, aMember.mVm);
  if (vm == nullptr || vm->mVm.mIncarnation != aMember.mIncarnation) {
    return true;
  }
  const VmTimes& times = vm->mTimes;
  const bool ordersExpired =
    aFencing == FencingMode::Enforced ||
    (vm->mLastProbe &&
     vm->mLastProbe->mProbedAt > aPhaseSince + aInput.mMaxOrderDelay);
  return HasRecentProbe(*vm, aNow, aInput.mMaxProbeAge) &&
         times.mReleasedFrom == aGroup.mId && times.mFreeSince && ordersExpired;
}

FencingMode
FencingOf(const Rules& aRules, const Group& aGroup)
{
  const GroupRule* rule = FindRule(aRules.mGroups, aGroup.mRule);
  // The fencing mode of a removed rule is unknown, so assume the one with the
  // longer wait.
  return rule == nullptr ? FencingMode::Ignored : rule->mFencingMode;
}

} // namespace

bool
IsVmPresent(const DomainInput& aInput,
            const GroupMember& aMember,
            TimePoint aNow)
{
  const ObservedVm* vm = FindVm(aInput.mVms, aMember.mVm);
  return vm != nullptr && !vm->mInOtherDomain &&
         vm->mVm.mIncarnation == aMember.mIncarnation &&
         HasRecentProbe(*vm, aNow, aInput.mMaxProbeAge);
}

bool
HasNoRecentProbe(const DomainInput& aInput, TimePoint aNow)
{
  const bool any = !aInput.mVms.empty() || !aInput.mCurrent.mGroups.empty();
  return any &&
         std::none_of(aInput.mVms.begin(), aInput.mVms.end(), [&](auto& aVm) {
           return HasRecentProbe(aVm, aNow, aInput.mMaxProbeAge);
         });
}

bool
IsFree(const DomainInput& aInput,
       const ObservedVm& aVm,
       FencingMode aFencing,
       TimePoint aNow)
{
  const VmTimes& times = aVm.mTimes;
  if (aVm.mInOtherDomain || !HasRecentProbe(aVm, aNow, aInput.mMaxProbeAge) ||
      !times.mFreeSince) {
    return false;
  }
  const bool waited = aNow >= *times.mFreeSince + aInput.mMaxProbeAge;
  if (aFencing == FencingMode::Enforced) {
    return waited || times.mUnassignedSinceRestart;
  }
  const bool ordersExpired =
    aVm.mLastProbe->mProbedAt > aInput.mLeaseHeldSince + aInput.mMaxOrderDelay;
  return waited && ordersExpired;
}

bool
MayBecomeFree(const DomainInput& aInput,
              const ObservedVm& aVm,
              FencingMode aFencing,
              TimePoint aNow)
{
  return !aVm.mInOtherDomain && aVm.mVm.mState == VmState::Live &&
         !IsFree(aInput, aVm, aFencing, aNow) &&
         aNow < aVm.mTimes.mFirstListedAt + aInput.mMaxProbeAge * 2;
}

std::map<std::string, GroupTimes>
UpdateGroupTimes(const Rules& aRules, const DomainInput& aInput, TimePoint aNow)
{
  std::map<std::string, GroupTimes> times;
  for (const Group& group : aInput.mCurrent.mGroups) {
    GroupTimes entry{ group.mPhase, group.mGeneration, aNow, std::nullopt };
    const auto it = aInput.mTimes.find(group.mId);
    if (it != aInput.mTimes.end() && it->second.mPhase == group.mPhase &&
        it->second.mGeneration == group.mGeneration) {
      entry = it->second;
    }
    const FencingMode fencing = FencingOf(aRules, group);
    const bool released =
      group.mPhase == GroupPhase::Retiring &&
      std::all_of(
        group.mMembers.begin(), group.mMembers.end(), [&](auto& aMember) {
          return IsReleased(
            aInput, group, aMember, fencing, entry.mPhaseSince, aNow);
        });
    if (!released) {
      entry.mReleasedAt.reset();
    } else if (!entry.mReleasedAt) {
      entry.mReleasedAt = aNow;
    }
    times[group.mId] = entry;
  }
  return times;
}

} // namespace hibiscushold
