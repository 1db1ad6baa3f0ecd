#pragma once

#include "groups/copyallocation.h"
#include "groups/domain.h"
#include "groups/vmtimes.h"
#include "rules/rules.h"

#include <map>
#include <string>
#include <vector>

namespace hibiscushold {

/// Input of the plan of one domain.
struct DomainInput
{
  Domain mCurrent;
  std::vector<ObservedVm> mVms;
  CopyCounts mCopies;
  std::map<std::string, GroupTimes> mTimes; ///< by group id
  Duration mMaxProbeAge{};                  ///< older probe results are ignored
  Duration mMaxOrderDelay{}; ///< longest time an order may be in flight
  TimePoint mLeaseHeldSince; ///< when this node acquired the lease
  uint64_t mNextGroup = 0;   ///< makes new group ids unique
};

/// @return whether the VM is listed with the member's incarnation and was
///         probed with it within the maximum probe age
bool
IsVmPresent(const DomainInput& aInput,
            const GroupMember& aMember,
            TimePoint aNow);

/// @return whether the domain has VMs or groups, but no VM was probed within
///         the maximum probe age. Then this node or the whole domain is
///         unreachable, and nothing should be planned.
bool
HasNoRecentProbe(const DomainInput& aInput, TimePoint aNow);

/// @return whether the VM belongs to no group and may be assigned to one: it
///         accepted a release order of this holder and has reported no group
///         since then. This must have lasted for the maximum probe age,
///         except after a restart under this holder. If engines don't check
///         fencing numbers, the exception does not apply and a probe must have
///         been sent after all orders of previous holders have expired.
bool
IsFree(const DomainInput& aInput,
       const ObservedVm& aVm,
       FencingMode aFencing,
       TimePoint aNow);

/// @return whether the VM is not free yet but may soon be, as its incarnation
///         was first listed recently
bool
MayBecomeFree(const DomainInput& aInput,
              const ObservedVm& aVm,
              FencingMode aFencing,
              TimePoint aNow);

/// Updates the holder's group times from the stored domain and the VMs' state.
/// @return the times of the existing groups, by group id
std::map<std::string, GroupTimes>
UpdateGroupTimes(const Rules& aRules,
                 const DomainInput& aInput,
                 TimePoint aNow);

} // namespace hibiscushold
