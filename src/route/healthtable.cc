#include "route/healthtable.h"

namespace hibiscushold {

void
HealthTable::AddSuccess(const std::string& aTarget,
                        std::optional<Duration> aTimePerUnit,
                        TimePoint aNow)
{
  Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  TargetHealth& health = shard.mTargets[aTarget];
  health = hibiscushold::AddSuccess(health, aTimePerUnit, aNow);
}

bool
HealthTable::AddFailure(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  TargetHealth& health = shard.mTargets[aTarget];
  const bool wasEjected = aNow < health.mEjectedUntil;
  health = hibiscushold::AddFailure(health, aNow);
  return !wasEjected && aNow < health.mEjectedUntil;
}

double
HealthTable::WeightOf(const std::string& aTarget, TimePoint aNow) const
{
  return hibiscushold::WeightOf(Find(aTarget), aNow);
}

std::vector<std::string>
HealthTable::EjectStragglers(std::span<const std::string> aTargets,
                             TimePoint aNow)
{
  std::vector<TargetHealth> healths;
  for (const std::string& it : aTargets) {
    healths.push_back(Find(it));
  }
  std::vector<std::string> ejected;
  for (const size_t it : FindStragglers(healths, aNow)) {
    Put(aTargets[it], Eject(healths[it], aNow));
    ejected.push_back(aTargets[it]);
  }
  return ejected;
}

size_t
HealthTable::ShardOf(const std::string& aTarget)
{
  return std::hash<std::string>()(aTarget) % kShards;
}

TargetHealth
HealthTable::Find(const std::string& aTarget) const
{
  const Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mTargets.find(aTarget);
  return it == shard.mTargets.end() ? TargetHealth{} : it->second;
}

void
HealthTable::Put(const std::string& aTarget, const TargetHealth& aHealth)
{
  Shard& shard = mShards[ShardOf(aTarget)];
  const std::lock_guard guard(shard.mLock);
  shard.mTargets[aTarget] = aHealth;
}

} // namespace hibiscushold
