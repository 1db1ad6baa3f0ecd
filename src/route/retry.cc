#include "route/retry.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaxRetries = 10;
constexpr uint32_t kMaxDoublings = 6;
/// Upper bound of the delay before the first retry.
constexpr auto kFirstBackoffBound = milliseconds(10);

} // namespace

RetryBudget
AddRequest(const RetryBudget& aBudget)
{
  return { std::min(kMaxRetries, aBudget.mRetries + kRetriesPerRequest) };
}

bool
TakeRetry(RetryBudget& aBudget)
{
  if (aBudget.mRetries < 1) {
    return false;
  }
  aBudget.mRetries -= 1;
  return true;
}

Duration
RetryDelay(uint32_t aRetry, double aFraction)
{
  const uint32_t doublings = std::min(aRetry - 1, kMaxDoublings);
  const Duration bound = kFirstBackoffBound * (1U << doublings);
  return std::chrono::duration_cast<Duration>(bound * aFraction);
}

void
RetryBudgets::AddRequest(const std::string& aRoute)
{
  Shard& shard = ShardOf(aRoute);
  const std::lock_guard guard(shard.mLock);
  RetryBudget& budget = shard.mBudgets[aRoute];
  budget = hibiscushold::AddRequest(budget);
}

bool
RetryBudgets::TakeRetry(const std::string& aRoute)
{
  Shard& shard = ShardOf(aRoute);
  const std::lock_guard guard(shard.mLock);
  return hibiscushold::TakeRetry(shard.mBudgets[aRoute]);
}

RetryBudgets::Shard&
RetryBudgets::ShardOf(const std::string& aRoute)
{
  return mShards[std::hash<std::string>()(aRoute) % kShards];
}

} // namespace hibiscushold
