#pragma once

#include "fleet/targetloads.h"
#include "placement/planner.h"

namespace hibiscushold {

/// Interval of the probes of a suspected VM that does not respond.
inline constexpr auto kProbeInterval = milliseconds(160);

/// @return how the VMs of a service respond to this node's calls
CallSummary
SummarizeCalls(const PlannerState& aState, TimePoint aNow);

/// Some VMs from all over the service are added if many suspects don't respond.
/// Their responses tell the loss of VMs from a cut of this node.
/// @param aLoads loads of the heads, as this node knows them
/// @return the VMs to probe: members of serving groups whose head shows no
///         progress, members whose entry has lapsed, and VMs that did not
///         respond to recent calls
std::set<std::string>
FindSuspects(const PlannerState& aState,
             const EngineSpec& aEngine,
             const FleetVms& aVms,
             const TargetLoads& aLoads,
             TimePoint aNow);

} // namespace hibiscushold
