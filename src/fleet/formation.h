#pragma once

#include "fleet/planner.h"

namespace hibiscushold {

/// Decides which groups are formed of free VMs, and how spares are readied.
/// Forms groups of models that have too few first; a domain keeps a spare for
/// each model before more groups than needed are formed.
/// @param aOrders the orders are added here
void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               const PlannerBounds& aBounds,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders);

/// How many groups of a model there should be.
/// @param aLiveVms VMs that could serve
size_t
WantedGroups(const FleetModel& aModel, const EngineSpec& aEngine, size_t aLiveVms);

} // namespace hibiscushold
