#include "rules/diff.h"

#include "rules/format.h"

#include <set>

namespace hibiscushold {

namespace {

template<class Rule>
std::set<std::string>
FormatAll(const std::vector<Rule>& aRules)
{
  std::set<std::string> lines;
  for (const Rule& it : aRules) {
    lines.insert(FormatRule(it));
  }
  return lines;
}

/// Appends the differing rules of one section to aText.
template<class Rule>
void
DiffSection(std::string& aText,
            const char* aName,
            const std::vector<Rule>& aOld,
            const std::vector<Rule>& aNew)
{
  const std::set<std::string> before = FormatAll(aOld);
  const std::set<std::string> after = FormatAll(aNew);
  const std::string section = std::string("[") + aName + "] ";
  for (const std::string& it : before) {
    if (!after.contains(it)) {
      aText.append("- ").append(section).append(it).append("\n");
    }
  }
  for (const std::string& it : after) {
    if (!before.contains(it)) {
      aText.append("+ ").append(section).append(it).append("\n");
    }
  }
}

/// Adds the requesters of the rules of aRules that aOther does not have.
template<class Rule>
void
AddRequesters(std::set<std::string>& aNames,
              const std::vector<Rule>& aRules,
              const std::vector<Rule>& aOther)
{
  const std::set<std::string> others = FormatAll(aOther);
  for (const Rule& it : aRules) {
    if (!others.contains(FormatRule(it))) {
      aNames.insert(it.mOrigin.mRequester);
    }
  }
}

/// Adds the requesters of the rules of aRules that aOther does not have.
void
AddRequesters(std::set<std::string>& aNames,
              const Rules& aRules,
              const Rules& aOther)
{
  AddRequesters(aNames, aRules.mAccounts, aOther.mAccounts);
  AddRequesters(aNames, aRules.mGroups, aOther.mGroups);
  AddRequesters(aNames, aRules.mServices, aOther.mServices);
  AddRequesters(aNames, aRules.mRoutes, aOther.mRoutes);
  AddRequesters(aNames, aRules.mPolicies, aOther.mPolicies);
  AddRequesters(aNames, aRules.mSchedules, aOther.mSchedules);
}

} // namespace

std::string
DiffRules(const Rules& aOld, const Rules& aNew)
{
  std::string text;
  DiffSection(text, "accounts", aOld.mAccounts, aNew.mAccounts);
  DiffSection(text, "groups", aOld.mGroups, aNew.mGroups);
  DiffSection(text, "services", aOld.mServices, aNew.mServices);
  DiffSection(text, "routes", aOld.mRoutes, aNew.mRoutes);
  DiffSection(text, "policies", aOld.mPolicies, aNew.mPolicies);
  DiffSection(text, "schedules", aOld.mSchedules, aNew.mSchedules);
  return text;
}

std::vector<std::string>
FindChangeRequesters(const Rules& aOld, const Rules& aNew)
{
  std::set<std::string> names;
  AddRequesters(names, aOld, aNew);
  AddRequesters(names, aNew, aOld);
  return { names.begin(), names.end() };
}

} // namespace hibiscushold
