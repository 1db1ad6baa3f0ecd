#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Counts this node's running requests by target. Thread-safe; sharded, with
/// one lock per shard.
class InFlightTable
{
public:
  /// Counts one request for the lifetime of the object.
  class ScopedCount
  {
  public:
    ScopedCount(InFlightTable& aTable, std::string aTarget);
    ~ScopedCount();
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

  private:
    InFlightTable& mTable;
    const std::string mTarget;
  };

  /// @return number of requests from this node that run at the target
  uint32_t Count(const std::string& aTarget) const;

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, uint32_t> mCounts;
  };

  Shard& ShardOf(const std::string& aTarget);
  void Add(const std::string& aTarget);
  void Remove(const std::string& aTarget);

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
