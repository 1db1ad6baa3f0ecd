#pragma once

#include "groups/presence.h"

namespace hibiscushold {

/// Decides the next state of a domain: repairs, dissolves, drains, retires
/// and forms groups. The orders to the engines are derived from the result.
/// @return the domain to store; equal to the current one when nothing changes
Domain
PlanDomain(const Rules& aRules, const DomainInput& aInput, TimePoint aNow);

} // namespace hibiscushold
