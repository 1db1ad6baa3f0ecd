#include "rules/check.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace hibiscushold {

namespace {

constexpr size_t kSha256HexDigits = 64;

/// Adds a fault to aFaults for each violation; a file may have several.
class Checker
{
public:
  Checker(const Rules& aRules, std::vector<LineError>& aFaults)
    : mRules(aRules)
    , mFaults(aFaults)
  {
  }

  void Run()
  {
    CheckUnique(mRules.mAccounts, "account");
    CheckUnique(mRules.mRoutes, "route");
    CheckUnique(mRules.mPolicies, "policy");
    CheckUnique(mRules.mSchedules, "schedule");
    CheckUnique(mRules.mGroups, "group");
    CheckUnique(mRules.mServices, "service");
    CheckAccounts();
    CheckGroups();
    CheckRoutes();
  }

private:
  template<class Rule>
  void CheckUnique(const std::vector<Rule>& aRules, const char* aKind)
  {
    std::set<std::string> seen;
    for (const Rule& it : aRules) {
      if (!seen.insert(it.mName).second) {
        AddFault(it.mOrigin,
                 Error::RuleInvalid,
                 std::string(aKind) + " '" + it.mName + "' is defined twice",
                 "keep one of the lines");
      }
    }
  }

  void CheckAccounts()
  {
    std::set<std::string> digests;
    for (const AccountRule& it : mRules.mAccounts) {
      const std::string& key = it.mKeySha256;
      const bool isHex = std::all_of(key.begin(), key.end(), [](char aChar) {
        return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
      });
      if (!key.empty() && (!isHex || key.size() != kSha256HexDigits)) {
        AddFault(it.mOrigin,
                 Error::RuleInvalid,
                 "account '" + it.mName + "': key_sha256 is not a SHA-256",
                 "give 64 lower-case hexadecimal digits");
      } else if (!key.empty() && !digests.insert(key).second) {
        AddFault(it.mOrigin,
                 Error::RuleInvalid,
                 "account '" + it.mName + "' has the key of another account",
                 "give each account its own key");
      }
    }
  }

  void CheckGroups()
  {
    for (const GroupRule& it : mRules.mGroups) {
      if (!it.mSchedule.empty()) {
        CheckReference(it.mOrigin, mRules.mSchedules, "schedule", it.mSchedule);
      }
      if (FindRule(mRules.mServices, it.mName) != nullptr) {
        AddFault(it.mOrigin,
                 Error::RuleInvalid,
                 "'" + it.mName + "' names a group and a service",
                 "rename one of them");
      }
    }
  }

  void CheckRoutes()
  {
    for (const RouteRule& it : mRules.mRoutes) {
      if (!it.mPath.empty() && it.mPath.front() != '/') {
        AddFault(it.mOrigin,
                 Error::RuleInvalid,
                 "route '" + it.mName + "': the path does not begin with '/'",
                 "write path:/" + it.mPath);
      }
      if (it.mAccount != "*") {
        CheckReference(it.mOrigin, mRules.mAccounts, "account", it.mAccount);
      }
      CheckReference(it.mOrigin, mRules.mPolicies, "policy", it.mPolicy);
      const bool isGroup = FindRule(mRules.mGroups, it.mDestination) != nullptr;
      if (!isGroup) {
        CheckReference(
          it.mOrigin, mRules.mServices, "group or service", it.mDestination);
      }
    }
  }

  /// Adds a fault if aName is not empty and no rule of aRules has that name.
  template<class Rule>
  void CheckReference(const RuleOrigin& aOrigin,
                      const std::vector<Rule>& aRules,
                      const char* aKind,
                      const std::string& aName)
  {
    if (aName.empty() || FindRule(aRules, aName) != nullptr) {
      return;
    }
    AddFault(aOrigin,
             Error::ReferenceUnknown,
             std::string(aKind) + " '" + aName + "'",
             "define it, or correct the name");
  }

  void AddFault(const RuleOrigin& aOrigin,
                Error aError,
                std::string aDetail,
                std::string aRemedy)
  {
    Failure failure{ aError, std::move(aDetail), std::move(aRemedy) };
    mFaults.push_back({ aOrigin.mLine, std::move(failure) });
  }

  const Rules& mRules;
  std::vector<LineError>& mFaults;
};

} // namespace

void
CheckRules(const Rules& aRules, std::vector<LineError>& aFaults)
{
  Checker(aRules, aFaults).Run();
}

} // namespace hibiscushold
