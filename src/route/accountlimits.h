#pragma once

#include "route/admission.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// Smoothed demand of one account at one or more cluster members.
struct AccountDemand
{
  double mPerSecond = 0;   ///< requests per second
  double mConcurrency = 0; ///< peak number of concurrent requests
};

/// Demand by account name.
using DemandMap = std::map<std::string, AccountDemand>;

/// Maximum number of accounts in a member's announcement. The accounts with the
/// highest request rate are announced.
inline constexpr size_t kMaxAnnouncedAccounts = 16;

/// Limits the size of an announcement.
/// @param aMaxAccounts maximum number of accounts to return
/// @return the accounts with the highest request rate
DemandMap
TopDemand(const DemandMap& aDemand, size_t aMaxAccounts);

/// Counts the requests of each account on this node and enforces this node's
/// part of the account's rate and concurrency limits. Thread-safe; sharded,
/// with one lock per shard.
class AccountLimits
{
public:
  /// Admits a request of the account if its limits allow. Each admitted request
  /// must be followed by one call of Release.
  /// @return nothing if the request is admitted, otherwise why it is denied
  std::optional<Denial> Acquire(const AccountRule& aRule, TimePoint aNow);

  /// Ends an admitted request of the account.
  void Release(const std::string& aAccount);

  /// Replaces the demand of the other live members.
  /// @param aOthers the announcement of each other live member
  /// @param aMembers number of live members, including this one
  void SetOtherDemand(const std::vector<DemandMap>& aOthers, size_t aMembers);

  /// Ends a measurement period, updates the smoothed demand, and drops the
  /// state of idle accounts.
  /// @return this node's demand by account, including accounts dropped now
  DemandMap EndPeriod(TimePoint aNow);

private:
  static constexpr size_t kShards = 16;

  struct State
  {
    TokenBucket mBucket;
    uint32_t mRunning = 0;
    uint32_t mRequests = 0;    ///< in this period, including denied ones
    uint32_t mPeakRunning = 0; ///< peak in this period, including denied ones
    AccountDemand mLocalDemand;
  };

  struct Shard
  {
    std::mutex mLock;
    std::map<std::string, State> mStates;
    DemandMap mOtherDemand; ///< sum over the other live members
    TimePoint mPeriodStart;
    size_t mMembers = 1;
  };

  Shard& ShardOf(const std::string& aAccount);

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
