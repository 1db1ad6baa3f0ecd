#include "route/inflight.h"

namespace hibiscushold {

InFlightTable::ScopedCount::ScopedCount(InFlightTable& aTable,
                                        std::string aTarget)
  : mTable(aTable)
  , mTarget(std::move(aTarget))
{
  mTable.Add(mTarget);
}

InFlightTable::ScopedCount::~ScopedCount()
{
  mTable.Remove(mTarget);
}

uint32_t
InFlightTable::Count(const std::string& aTarget) const
{
  const Shard& shard = mShards[std::hash<std::string>()(aTarget) % kShards];
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mCounts.find(aTarget);
  return it == shard.mCounts.end() ? 0 : it->second;
}

InFlightTable::Shard&
InFlightTable::ShardOf(const std::string& aTarget)
{
  return mShards[std::hash<std::string>()(aTarget) % kShards];
}

void
InFlightTable::Add(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  ++shard.mCounts[aTarget];
}

void
InFlightTable::Remove(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mCounts.find(aTarget);
  if (--it->second == 0) {
    shard.mCounts.erase(it);
  }
}

} // namespace hibiscushold
