#include "route/targetlimits.h"

#include <algorithm>

namespace hibiscushold {

uint32_t
TargetLimits::LimitOf(const std::string& aTarget) const
{
  const Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mLimits.find(aTarget);
  const TargetLimit limit =
    it == shard.mLimits.end() ? TargetLimit{} : it->second;
  return std::max(1U, static_cast<uint32_t>(limit.mLimit));
}

bool
TargetLimits::WasLowered(const std::string& aTarget) const
{
  const Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mLimits.find(aTarget);
  return it != shard.mLimits.end() && it->second.mWasLowered;
}

void
TargetLimits::Adjust(const std::string& aTarget,
                     const LimitSignal& aSignal,
                     TimePoint aNow)
{
  Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  TargetLimit& limit = shard.mLimits[aTarget];
  limit = AdjustLimit(limit, aSignal, aNow);
}

void
TargetLimits::AddResponseTime(const std::string& aTarget,
                              Duration aResponseTime)
{
  Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  TargetLimit& limit = shard.mLimits[aTarget];
  limit = hibiscushold::AddResponseTime(limit, aResponseTime);
}

size_t
TargetLimits::ShardOf(const std::string& aTarget)
{
  return std::hash<std::string>()(aTarget) % kShards;
}

} // namespace hibiscushold
