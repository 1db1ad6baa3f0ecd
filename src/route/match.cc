#include "route/match.h"

#include "core/ids.h"

namespace hibiscushold {

namespace {

bool
MatchesPath(std::string_view aPattern, std::string_view aPath)
{
  if (aPattern.ends_with('*')) {
    return aPath.starts_with(aPattern.substr(0, aPattern.size() - 1));
  }
  return aPattern == aPath;
}

bool
MatchesName(std::string_view aPattern, std::string_view aName)
{
  return aPattern == "*" || aPattern == aName;
}

} // namespace

std::optional<RouteMatch>
MatchRoute(const Rules& aRules,
           std::string_view aAccount,
           std::string_view aPath,
           std::string_view aModel)
{
  for (const RouteRule& it : aRules.mRoutes) {
    if (MatchesPath(it.mPath, aPath) && MatchesName(it.mModel, aModel) &&
        MatchesName(it.mAccount, aAccount)) {
      return RouteMatch{ &it,
                         FindRule(aRules.mPolicies, it.mPolicy),
                         FindRule(aRules.mGroups, it.mDestination),
                         FindRule(aRules.mServices, it.mDestination) };
    }
  }
  return std::nullopt;
}

const AccountRule*
FindAccountByKey(const Rules& aRules, std::string_view aKeySha256)
{
  const AccountRule* found = nullptr;
  for (const AccountRule& it : aRules.mAccounts) {
    if (EqualConstantTime(it.mKeySha256, aKeySha256)) {
      found = &it;
    }
  }
  return found;
}

} // namespace hibiscushold
