#pragma once

#include "placement/planner.h"

namespace hibiscushold {

/// Decides which groups to form from free VMs, and which model each spare
/// loads. Loads are limited, so those that complete a group go first, then
/// those for models that the domain already serves.
/// @param aOrders receives the orders
void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders);

} // namespace hibiscushold
