#pragma once

#include "core/ini.h"
#include "rules/rules.h"

#include <vector>

namespace hibiscushold {

/// Checks the names, the account keys, the paths and the references between
/// rules.
/// @param aRules the parsed rules
/// @param aFaults receives a fault, with its line, for each violation
void
CheckRules(const Rules& aRules, std::vector<LineError>& aFaults);

} // namespace hibiscushold
