#pragma once

#include "rules/rules.h"

#include <optional>
#include <string_view>

namespace hibiscushold {

/// The rules that apply to one request.
struct RouteMatch
{
  const RouteRule* mRoute = nullptr;
  const PolicyRule* mPolicy = nullptr;
  const GroupRule* mGroup = nullptr;     ///< null for a service
  const ServiceRule* mService = nullptr; ///< null for a group
};

/// Finds the first route, in file order, that matches the request.
/// @param aPath path of the request, without query
/// @param aModel model named by the request, empty if none
/// @return the rules for the request, or nothing if no route matches
std::optional<RouteMatch>
MatchRoute(const Rules& aRules,
           std::string_view aAccount,
           std::string_view aPath,
           std::string_view aModel);

/// Compares the keys of all accounts in constant time.
/// @return the account whose key has this SHA-256, or null
const AccountRule*
FindAccountByKey(const Rules& aRules, std::string_view aKeySha256);

} // namespace hibiscushold
