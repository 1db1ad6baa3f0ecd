#pragma once

#include "fleet/planner.h"

namespace hibiscushold {

/// Decides which groups are formed of free VMs, and which spares load a model.
/// Loads are scarce: they go to the domains' own models, and there to where
/// they complete a group soonest.
/// @param aOrders the orders are added here
void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders);

} // namespace hibiscushold
