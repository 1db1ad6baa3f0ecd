#include "route/accountlimits.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr auto kConcurrencyRetryAfter = milliseconds(200);
/// Size of a rate limit's token bucket, in seconds at the permitted rate.
constexpr double kBurstSeconds = 1;
/// Weight of the latest period in the moving average of the demand.
constexpr double kLatestPeriodWeight = 0.5;
/// Request rate below which an account counts as idle.
constexpr double kNegligiblePerSecond = 0.01;
/// Time since the latest check of the rate limit after which an idle account's
/// state is dropped.
constexpr auto kIdleStateLifetime = std::chrono::minutes(10);

double
Smooth(double aOld, double aNew)
{
  return aOld + (aNew - aOld) * kLatestPeriodWeight;
}

AccountDemand
DemandOf(const DemandMap& aOthers, const std::string& aAccount)
{
  const auto it = aOthers.find(aAccount);
  return it == aOthers.end() ? AccountDemand{} : it->second;
}

} // namespace

DemandMap
TopDemand(const DemandMap& aDemand, size_t aMaxAccounts)
{
  std::vector<std::pair<std::string, AccountDemand>> all(aDemand.begin(),
                                                         aDemand.end());
  const size_t n = std::min(aMaxAccounts, all.size());
  const auto end = all.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(all.begin(), end, all.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.second.mPerSecond > aRight.second.mPerSecond;
  });
  return DemandMap(all.begin(), end);
}

std::optional<Denial>
AccountLimits::Acquire(const AccountRule& aRule, TimePoint aNow)
{
  Shard& shard = ShardOf(aRule.mName);
  const std::lock_guard guard(shard.mLock);
  State& state = shard.mStates[aRule.mName];
  ++state.mRequests;
  state.mPeakRunning = std::max(state.mPeakRunning, state.mRunning + 1);
  const AccountDemand others = DemandOf(shard.mOtherDemand, aRule.mName);
  const Demand concurrency{ state.mLocalDemand.mConcurrency,
                            state.mLocalDemand.mConcurrency +
                              others.mConcurrency,
                            shard.mMembers };
  if (aRule.mMaxConcurrency > 0 &&
      state.mRunning >=
        LocalConcurrencyLimit(aRule.mMaxConcurrency, concurrency)) {
    return Denial{ DenyReason::AccountConcurrency, kConcurrencyRetryAfter };
  }
  if (aRule.mRatePerSecond > 0) {
    const Demand rate{ state.mLocalDemand.mPerSecond,
                       state.mLocalDemand.mPerSecond + others.mPerSecond,
                       shard.mMembers };
    const double localRate = LocalLimit(aRule.mRatePerSecond, rate);
    const double burst = std::max(1.0, localRate * kBurstSeconds);
    const auto wait = TakeToken(state.mBucket, localRate, burst, aNow);
    if (wait) {
      return Denial{ DenyReason::AccountRate, *wait };
    }
  }
  ++state.mRunning;
  return std::nullopt;
}

void
AccountLimits::Release(const std::string& aAccount)
{
  Shard& shard = ShardOf(aAccount);
  const std::lock_guard guard(shard.mLock);
  --shard.mStates[aAccount].mRunning;
}

void
AccountLimits::SetOtherDemand(const std::vector<DemandMap>& aOthers,
                              size_t aMembers)
{
  DemandMap sum;
  for (const DemandMap& it : aOthers) {
    for (const auto& [account, demand] : it) {
      sum[account].mPerSecond += demand.mPerSecond;
      sum[account].mConcurrency += demand.mConcurrency;
    }
  }
  for (Shard& shard : mShards) {
    const std::lock_guard guard(shard.mLock);
    shard.mMembers = std::max<size_t>(1, aMembers);
    shard.mOtherDemand = sum;
  }
}

DemandMap
AccountLimits::EndPeriod(TimePoint aNow)
{
  DemandMap demand;
  for (Shard& shard : mShards) {
    const std::lock_guard guard(shard.mLock);
    const std::chrono::duration<double> period = aNow - shard.mPeriodStart;
    shard.mPeriodStart = aNow;
    for (auto& [account, state] : shard.mStates) {
      AccountDemand& local = state.mLocalDemand;
      local.mPerSecond =
        Smooth(local.mPerSecond, state.mRequests / period.count());
      local.mConcurrency = Smooth(local.mConcurrency, state.mPeakRunning);
      state.mRequests = 0;
      state.mPeakRunning = state.mRunning;
      demand[account] = local;
    }
    std::erase_if(shard.mStates, [&](const auto& aState) {
      const State& state = aState.second;
      return state.mRunning == 0 &&
             state.mLocalDemand.mPerSecond < kNegligiblePerSecond &&
             aNow >= state.mBucket.mUpdatedAt + kIdleStateLifetime;
    });
  }
  return demand;
}

AccountLimits::Shard&
AccountLimits::ShardOf(const std::string& aAccount)
{
  return mShards[std::hash<std::string>()(aAccount) % kShards];
}

} // namespace hibiscushold
