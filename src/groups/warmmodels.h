#pragma once

#include "groups/orders.h"
#include "rules/rules.h"

#include <vector>

namespace hibiscushold {

/// @param aWallMillis milliseconds since the Unix epoch
/// @return the rule's capacity goal at that time by its schedule;
///         MinimizeDowntime for a rule without a schedule
CapacityGoal
CapacityGoalAt(const Rules& aRules,
               const GroupRule& aRule,
               int64_t aWallMillis);

/// @param aWallMillis milliseconds since the Unix epoch
/// @return whether the time is within the schedule's days and hours; an unknown
///         time zone counts as UTC
bool
IsScheduleActive(const ScheduleRule& aRule, int64_t aWallMillis);

/// Chooses the models that idle VMs of a domain should have loaded: those of
/// the rules with spares and copies in the domain whose capacity goal is
/// MinimizeDowntime.
/// @param aCopies number of copies in the domain, by name of the rule
/// @param aWallMillis milliseconds since the Unix epoch
std::vector<WarmDemand>
DecideWarmModels(const Rules& aRules,
                 const CopyCounts& aCopies,
                 int64_t aWallMillis);

} // namespace hibiscushold
