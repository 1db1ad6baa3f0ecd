#pragma once

#include "rules/rules.h"

#include <string>

namespace hibiscushold {

/// @return the rule as "name = key:value …" without its requester; attributes
///         that have a default are included, empty ones are left out
std::string
PrintRule(const AccountRule& aRule);
std::string
PrintRule(const GroupRule& aRule);
std::string
PrintRule(const ServiceRule& aRule);
std::string
PrintRule(const RouteRule& aRule);
std::string
PrintRule(const PolicyRule& aRule);
std::string
PrintRule(const ScheduleRule& aRule);

/// @return the text of a rules file in canonical form; parsing it gives the
/// same
///         rules
std::string
PrintRules(const Rules& aRules);

} // namespace hibiscushold
