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

/// How far a VM is in its group.
enum class GroupPhase
{
  Joining,
  Ready,
  Open,    ///< the head serves
  Closing, ///< the head ends its work
  Broken,
};

/// @return the stable name of the phase
const char*
NameOf(GroupPhase aPhase);

/// One formation of a group. A group that is formed anew gets a new epoch.
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

/// What a VM says of its place in a group.
struct GroupSeat
{
  GroupKey mKey;
  uint32_t mRank = 0; ///< 0 is the head
  GroupPhase mPhase = GroupPhase::Joining;
  std::string mModel;
};

/// A VM as its entry in the platform's list describes it.
struct FleetVm
{
  std::string mId;
  uint64_t mBornMillis = 0; ///< start of this life, Unix time
  std::string mService;
  Endpoint mAddress;
  std::string mZone;
  std::string mDomain; ///< fabric domain, empty for plain services
  VmState mState = VmState::Live;
  uint32_t mSlots = 1;
  std::vector<std::string> mStaged; ///< models on the VM's host
  std::optional<GroupSeat> mSeat;
};

/// The VMs at one moment.
using FleetVms = std::map<std::string, FleetVm>;
using FleetVmsPtr = std::shared_ptr<const FleetVms>;

/// @return the VM, or null
const FleetVm*
FindVm(const FleetVms& aVms, const std::string& aId);

/// @param aVm may be null
/// @return whether the VM has a seat in this formation of the group
bool
IsSeatedIn(const FleetVm* aVm, const GroupKey& aKey);

/// @param aHead may be null
/// @return whether it is the head of a group that takes or ends requests
bool
IsServingHead(const FleetVm* aHead);

/// A group with all its VMs seated, as the list shows it.
struct SeatedGroup
{
  GroupKey mKey;
  std::string mModel;
  std::string mDomain;
  std::vector<const FleetVm*> mMembers; ///< by rank; null where one is missing
};

/// @return the groups that VMs of the service are seated in; the vectors of
///         members reach to the highest rank seen
std::vector<SeatedGroup>
SeatedGroups(const FleetVms& aVms, std::string_view aService);

/// @param aSize VMs that the group's model needs
/// @return whether every member is there, serves this formation and stays
bool
IsWhole(const SeatedGroup& aGroup, size_t aSize);

} // namespace hibiscushold
