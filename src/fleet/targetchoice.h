#pragma once

#include "fleet/config.h"
#include "fleet/targetloads.h"
#include "fleet/vm.h"
#include "fleet/zonesout.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// A target that a request can be sent to: a VM of a plain service, or the head
/// of a complete and open group.
struct FleetTarget
{
  std::string mVmId;
  Endpoint mAddress;
  std::string mZone;
  std::string mModel; ///< empty for plain services
  GroupKey mGroup;
  uint32_t mSlots = 1;
  TargetTimes mTimes{};
  uint64_t mStartedMillis = 0; ///< start of the VM, Unix time
  TimePoint mColdUntil{};      ///< tolerates few requests before then
  /// While it is cold, requests a second that this node may send it.
  double mColdPerSecond = 0;
  TimePoint mColdTurnsFrom{}; ///< while it is cold, none are sent before then
};

/// The targets that accept new requests, by service. Immutable; rebuilt from
/// each list of VMs.
struct FleetTargets
{
  std::map<std::string, std::vector<FleetTarget>, std::less<>> mByService;
};

using FleetTargetsPtr = std::shared_ptr<const FleetTargets>;

/// @return the live VMs of plain services, and the heads of open groups whose
///         members are all present and not leaving; none that has a VM in a
///         zone out of service
FleetTargets
FindTargets(const FleetVms& aVms,
            const FleetConfig& aConfig,
            const ZonesOut& aZones = {});

/// Finds entries that another writer has left, which name no member.
/// @return by id, the ranks of VMs whose group has no such place
std::map<std::string, uint32_t>
FindOddRanks(const FleetVms& aVms, const FleetConfig& aConfig);

/// @return whether the targets of the service include this start of the VM, in
///         the same group
bool
IsListed(const FleetTargets& aTargets,
         std::string_view aService,
         const FleetTarget& aTarget);

/// A target and its known load.
struct LoadedTarget
{
  const FleetTarget* mTarget = nullptr;
  TargetLoad mLoad;
  bool mSameZone = false;
};

/// The properties of a request that the choice of its target depends on.
struct ChoiceInput
{
  std::string_view mZone;
  std::string_view mModel;
  TimePoint mNow;
  double mFraction = 0; ///< random, at least 0 and less than 1
  /// Latest time of a first event that is on time; zero if there is none.
  TimePoint mOnTimeUntil{};
  uint32_t mPromptTokens = 0;
  double mLeastFirstEventMillis = 0; ///< at a target with little load
};

/// @return whether the first event is expected after aInput.mOnTimeUntil
bool
IsTooLate(const LoadedTarget& aTarget, const ChoiceInput& aInput);

/// @return the cost of sending one more request to the target, in milliseconds
///         that this request or others would have to wait
double
RequestCost(const LoadedTarget& aTarget, const ChoiceInput& aInput);

/// @return the longest pause to expect in the target's streams, given the
///         requests that it is processing
milliseconds
ExpectedPause(const TargetTimes& aTimes, const TargetLoad& aLoad);

/// @return whether other nodes have several streams at the target, and no
///         stream of any node has made progress for longer than the expected
///         pause
bool
IsSilentToAllNodes(const TargetTimes& aTimes,
                   const TargetLoad& aLoad,
                   TimePoint aNow);

/// Compares the time without progress with the expected pause where other nodes
/// have several streams at the target, and with the target's usual pause
/// elsewhere.
/// @return whether none of this node's requests at the target makes progress
bool
IsStalled(const FleetTarget& aTarget, const TargetLoad& aLoad, TimePoint aNow);

/// @return whether this start of the target's VM has announced its leaving
bool
IsLeaving(const FleetTarget& aTarget, const TargetLoad& aLoad);

/// @return when this node may send the target its next request; the earliest
///         possible time unless the target is cold
TimePoint
NextColdTurn(const FleetTarget& aTarget,
             const TargetLoad& aLoad,
             TimePoint aNow);

/// @return when the first of the model's targets accepts requests again; none
///         if one of them has not asked for quiet and is not cold, or there is
///         none
std::optional<TimePoint>
EndOfQuiet(std::span<const FleetTarget> aTargets,
           const TargetLoads& aLoads,
           const ChoiceInput& aInput);

/// Chooses a target at random, preferring low costs; targets that cost much
/// more than the cheapest are never chosen, nor are those that announced their
/// leaving, asked for quiet, or are cold and get no request of this node now.
/// @param aTried VMs that the request has been sent to before
/// @return the target, or null when none is available
const FleetTarget*
ChooseTarget(std::span<const FleetTarget> aTargets,
             const TargetLoads& aLoads,
             const ChoiceInput& aInput,
             const std::set<std::string>& aTried);

} // namespace hibiscushold
