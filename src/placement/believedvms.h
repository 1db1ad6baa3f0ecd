#pragma once

#include "placement/planner.h"

#include <optional>

namespace hibiscushold {

/// Updates the planner's state of each VM with its entry.
void
UpdateVms(PlannerState& aState, const PlannerView& aView, TimePoint aNow);

/// An entry that shows less than is known of the VM's membership, and that no
/// order of this planner explains, is no proof that the VM has left its group.
/// @return the VMs with the memberships that they are known to have, or nothing
///         if the entries show them all
std::optional<FleetVms>
CorrectMemberships(const PlannerState& aState, const PlannerView& aView);

/// Whether a VM may join another group, or why not.
enum class Availability
{
  Free,
  Leaving,      ///< it drains, or its entry has gone
  Unresponsive, ///< it has not responded for long
  ZoneOut,      ///< its zone is out of service
  InDoubt,      ///< it has not responded lately
  Serving,      ///< it is the head of a group that serves
  InGroup,      ///< it is a member of a group that is planned
  Locked,       ///< its previous group may still serve
  Doubted,      ///< its entry shows less than is known of its membership
  Unproven,     ///< nothing but its entry shows in which group it is
};

/// Single VMs that join alone are not looked at.
/// @param aView with the memberships that the VMs are known to have
Availability
AvailabilityOf(const PlannerState& aState,
               const PlannerView& aView,
               const FleetVm& aVm,
               TimePoint aNow);

/// Has a VM asked in which group it is.
/// @return whether its report is about to arrive
bool
AskForProof(PlannerState& aState,
            const std::string& aVmId,
            PlannerStep& aStep,
            TimePoint aNow);

/// Has the VMs asked of which one may be the head of a group that lists none.
/// @return whether a report is about to arrive
bool
AskForHead(PlannerState& aState,
           const PlannerView& aView,
           const ObservedGroup& aGroup,
           PlannerStep& aStep,
           TimePoint aNow);

} // namespace hibiscushold
