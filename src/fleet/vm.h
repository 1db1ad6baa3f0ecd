#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "store/platform.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace hibiscushold {

/// The phase of a VM in its group.
enum class MembershipPhase
{
  Joining,
  Ready,
  Open,    ///< the head accepts requests
  Closing, ///< the head finishes its requests
  Broken,
};

/// @return the name of the phase, as used in the protocol and in logs
const char*
NameOf(MembershipPhase aPhase);

/// Identifies one formation of a group. A group that is formed again gets a new
/// epoch.
struct GroupKey
{
  std::string mName;
  uint64_t mEpoch = 0;

  bool operator==(const GroupKey&) const = default;
  bool operator<(const GroupKey& aOther) const
  {
    return std::tie(mEpoch, mName) < std::tie(aOther.mEpoch, aOther.mName);
  }
};

/// A VM's membership in a group, as the VM reports it.
struct GroupMembership
{
  GroupKey mKey;
  uint32_t mRank = 0; ///< 0 is the head
  MembershipPhase mPhase = MembershipPhase::Joining;
  std::string mModel;
};

/// The time for which a VM is kept in the list after its entry has gone.
struct VmLapse
{
  TimePoint mLeavesAt; ///< the VM counts as leaving from then on
  TimePoint mEndsAt;   ///< the VM is gone from then on
};

/// A VM as its entry in the platform's list describes it.
struct FleetVm
{
  std::string mId;
  uint64_t mStartedMillis = 0; ///< start of the VM, Unix time in milliseconds
  std::string mService;
  Endpoint mAddress;
  std::string mZone;
  std::string mDomain; ///< fabric domain, empty for plain services
  VmState mState = VmState::Live;
  uint32_t mSlots = 1;
  std::vector<std::string> mStaged; ///< models on the VM's host
  std::optional<GroupMembership> mMembership;
  TimePoint mColdUntil{};        ///< tolerates few requests before then
  std::optional<VmLapse> mLapse; ///< none while the VM has an entry
};

/// A snapshot of the VMs, by id.
using FleetVms = std::map<std::string, FleetVm>;
using FleetVmsPtr = std::shared_ptr<const FleetVms>;

/// @return the VM, or null
const FleetVm*
FindVm(const FleetVms& aVms, const std::string& aId);

/// @return whether the model is on the VM's host
bool
HasModel(const FleetVm& aVm, std::string_view aModel);

/// @param aVm may be null
/// @return whether the VM is a member of this formation of the group
bool
IsMemberOf(const FleetVm* aVm, const GroupKey& aKey);

/// @param aVm may be null
/// @return whether the VM is kept although its entry has gone
bool
IsLapsed(const FleetVm* aVm);

/// @param aHead may be null
/// @return whether the VM is the head of a group that is open or closing
bool
IsServingHead(const FleetVm* aHead);

/// A group as derived from the memberships of the listed VMs.
struct ObservedGroup
{
  GroupKey mKey;
  std::string mModel;
  std::string mDomain;
  std::map<uint32_t, const FleetVm*> mMembers; ///< by rank; none is null
};

/// @return the groups that the service's VMs are members of
std::vector<ObservedGroup>
FindGroups(const FleetVms& aVms, std::string_view aService);

/// @return the group's head, or null if it isn't listed
const FleetVm*
HeadOf(const ObservedGroup& aGroup);

/// An entry whose rank is not next to those of the others was written by
/// someone else, and names no member.
/// @param aSize VMs that the group's model needs
/// @return the members, the head first, or none if one isn't listed or the
///         group has more
std::vector<const FleetVm*>
FindAllMembers(const ObservedGroup& aGroup, size_t aSize);

/// @param aSize VMs that the group's model needs
/// @return whether all members are listed and live, and none is joining or
///         broken
bool
IsComplete(const ObservedGroup& aGroup, size_t aSize);

} // namespace hibiscushold
