#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace hibiscushold {

/// Line of a rule in the rules file, and who requested the rule.
struct RuleOrigin
{
  int mLine = 0;
  std::string mRequester; ///< text of the comment at the end of the line
};

/// An account that callers use: its key and its limits.
struct AccountRule
{
  std::string mName;
  std::string mKeySha256;    ///< SHA-256 of the key, in lower-case hexadecimal
  double mRatePerSecond = 0; ///< 0 means no limit
  uint32_t mMaxConcurrency = 0; ///< most concurrent requests; 0 means no limit
  uint32_t mQueueWeight = 1;    ///< weight in fair queues
  RuleOrigin mOrigin;
};

/// Whether the engines of a group check fencing numbers, i.e. reject an order
/// whose number is lower than one they have accepted.
enum class FencingMode
{
  Enforced,
  Ignored,
};

/// Copies of a model, each spanning several VMs of one fabric domain.
struct GroupRule
{
  std::string mName;
  std::string mModel;
  std::string mPool = "workers"; ///< pool whose VMs may join the group
  uint32_t mCopies = 1;
  uint32_t mVmsPerCopy = 1;
  /// Idle VMs to keep loaded in each domain that has copies.
  uint32_t mSparesPerDomain = 0;
  FencingMode mFencingMode = FencingMode::Enforced;
  std::string mSchedule; ///< name of a schedule; empty for none
  RuleOrigin mOrigin;
};

/// A service without groups, served by all live VMs of a pool.
struct ServiceRule
{
  std::string mName;
  std::string mPool;
  RuleOrigin mOrigin;
};

/// Maps requests to a group or service. The first rule that matches the path,
/// model and account of a request applies.
struct RouteRule
{
  std::string mName;
  std::string mPath;          ///< exact path, or a prefix followed by "*"
  std::string mModel = "*";   ///< "*" matches any
  std::string mAccount = "*"; ///< "*" matches any
  std::string mDestination;   ///< name of a group or service
  std::string mPolicy;
  RuleOrigin mOrigin;
};

/// Urgency of a request; a lower value is served first and shed last.
enum class Priority
{
  Urgent,
  Normal,
  Bulk,
};

/// How the requests of a route are handled.
struct PolicyRule
{
  std::string mName;
  Priority mPriority = Priority::Normal;
  bool mIdempotent = false;
  milliseconds mTimeout{ 30000 };
  uint32_t mRetries = 0;
  bool mHedge = false;
  RuleOrigin mOrigin;
};

/// Which cost a schedule minimizes first.
enum class CapacityGoal
{
  /// Lost copies: idle VMs are kept as warm spares.
  MinimizeDowntime,
  /// Idle VMs: they form copies beyond the number in the rule.
  MinimizeStranded,
};

/// Days and hours during which mGoal applies. At all other times the other
/// CapacityGoal applies.
struct ScheduleRule
{
  std::string mName;
  uint32_t mDayMask = 0x7f; ///< bit 0 is Monday
  uint32_t mFromHour = 0;
  uint32_t mToHour = 24;         ///< exclusive
  std::string mTimeZone = "UTC"; ///< name of a time zone of the system
  CapacityGoal mGoal = CapacityGoal::MinimizeDowntime;
  RuleOrigin mOrigin;
};

/// The rules of a whole file. Every vector is in file order.
struct Rules
{
  std::vector<AccountRule> mAccounts;
  std::vector<GroupRule> mGroups;
  std::vector<ServiceRule> mServices;
  std::vector<RouteRule> mRoutes;
  std::vector<PolicyRule> mPolicies;
  std::vector<ScheduleRule> mSchedules;
};

/// @return the first rule of that name, or null
template<class Rule>
const Rule*
FindRule(const std::vector<Rule>& aRules, std::string_view aName)
{
  for (const Rule& rule : aRules) {
    if (rule.mName == aName) {
      return &rule;
    }
  }
  return nullptr;
}

} // namespace hibiscushold
