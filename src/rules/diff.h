#pragma once

#include "rules/rules.h"

#include <string>
#include <vector>

namespace hibiscushold {

/// Compares two sets of rules, without their requesters.
/// @return one line per difference: "- [section] rule" for a rule that only
///         aOld has, "+ [section] rule" for one that only aNew has; a changed
///         rule gives both
std::string
DiffRules(const Rules& aOld, const Rules& aNew);

/// @return the requesters of the rules that only one of the two has, sorted and
///         without duplicates
std::vector<std::string>
FindChangeRequesters(const Rules& aOld, const Rules& aNew);

} // namespace hibiscushold
