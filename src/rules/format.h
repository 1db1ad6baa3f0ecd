#pragma once

#include "rules/rules.h"

#include <string>

namespace hibiscushold {

/// @return the rule as "name = key:value …" without its requester; attributes
///         that have a default are included, empty ones are left out
std::string
FormatRule(const AccountRule& aRule);
std::string
FormatRule(const GroupRule& aRule);
std::string
FormatRule(const ServiceRule& aRule);
std::string
FormatRule(const RouteRule& aRule);
std::string
FormatRule(const PolicyRule& aRule);
std::string
FormatRule(const ScheduleRule& aRule);

/// @return the text of a rules file in canonical form; parsing it gives the
///         same rules
std::string
FormatRules(const Rules& aRules);

} // namespace hibiscushold
