#pragma once

#include "fleet/config.h"
#include "fleet/loads.h"
#include "fleet/vm.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// A target that a request could be sent to: a VM of a plain service, or the
/// head of a whole group.
struct FleetTarget
{
  std::string mVmId;
  Endpoint mAddress;
  std::string mZone;
  std::string mModel; ///< empty for plain services
  GroupKey mGroup;
  uint32_t mSlots = 1;
  TargetTimes mTimes{};
};

/// The targets that take new requests, by service. Made anew from each list of
/// VMs and never changed.
struct FleetTargets
{
  std::map<std::string, std::vector<FleetTarget>, std::less<>> mByService;
};

using FleetTargetsPtr = std::shared_ptr<const FleetTargets>;

/// Finds the targets: live VMs of plain services, and the open heads of groups
/// all of whose members are there and stay.
FleetTargets
FindTargets(const FleetVms& aVms, const FleetConfig& aConfig);

/// A target with what is known of its load.
struct LoadedTarget
{
  const FleetTarget* mTarget = nullptr;
  TargetLoad mLoad;
  bool mSameZone = false;
};

/// What a choice among targets is based on.
struct ChoiceInput
{
  std::string_view mZone;
  std::string_view mModel;
  TimePoint mNow;
  double mFraction = 0; ///< random, at least 0 and less than 1
};

/// @return the cost of sending one more request to the target, in
///         milliseconds that it or others wait for it
double
CostOf(const LoadedTarget& aTarget, const ChoiceInput& aInput);

/// @return the longest pause of the target's streams that its work explains
milliseconds
ExplainedPause(const TargetTimes& aTimes, const TargetLoad& aLoad);

/// @return whether several nodes have streams at the target and none of them
///         moved for longer than its work explains
bool
IsSilentForAll(const TargetTimes& aTimes,
               const TargetLoad& aLoad,
               TimePoint aNow);

/// Judges a target that is known to be at work for several nodes by what its
/// work explains, and any other by the pauses that are usual there.
/// @return whether all that it was given stands still
bool
IsStalled(const FleetTarget& aTarget, const TargetLoad& aLoad, TimePoint aNow);

/// Chooses the target with the least cost; near ties fall by chance.
/// @param aTried VMs that had the request already
/// @return the target, or null when none takes it
const FleetTarget*
ChooseTarget(std::span<const FleetTarget> aTargets,
             const TargetLoads& aLoads,
             const ChoiceInput& aInput,
             const std::set<std::string>& aTried);

} // namespace hibiscushold
