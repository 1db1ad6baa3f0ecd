#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Number of retries left to a route.
struct RetryBudget
{
  double mRetries = 10;
};

/// Adds a tenth of a retry for a request, up to a maximum.
/// @return the updated budget
RetryBudget
AddRequest(const RetryBudget& aBudget);

/// Takes one retry from the budget.
/// @return whether there was a retry left
bool
TakeRetry(RetryBudget& aBudget);

/// Computes an exponential backoff with full jitter: a random delay between 0
/// and a bound that doubles with each retry, up to a maximum.
/// @param aRetry number of the retry, from 1
/// @param aFraction a random number of at least 0 and less than 1
Duration
RetryDelay(uint32_t aRetry, double aFraction);

/// Retry budgets of the routes. Thread-safe; sharded, with one lock per shard.
class RetryBudgets
{
public:
  /// Adds a tenth of a retry to the route's budget for a request.
  void AddRequest(const std::string& aRoute);

  /// Takes one retry from the route's budget.
  /// @return whether there was a retry left
  bool TakeRetry(const std::string& aRoute);

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    std::mutex mLock;
    std::map<std::string, RetryBudget> mBudgets;
  };

  Shard& ShardOf(const std::string& aRoute);

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
