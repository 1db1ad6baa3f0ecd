#pragma once

#include "placement/planner.h"

namespace hibiscushold {

/// Decides which groups to form from free VMs, and which model each spare
/// loads. Loads are limited, so those that complete a group go first, then
/// those for models that the domain already serves.
/// @param aStep receives the orders and the VMs to ask
void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               PlannerStep& aStep);

} // namespace hibiscushold
