#pragma once

#include "route/adaptivelimit.h"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Adaptive concurrency limits of this node's targets. Thread-safe; sharded,
/// with one lock per shard.
class TargetLimits
{
public:
  /// @return how many requests this node may run concurrently at the target, at
  ///         least 1
  uint32_t LimitOf(const std::string& aTarget) const;

  /// @return whether the limit was ever lowered because requests queued at
  ///         the target
  bool WasLowered(const std::string& aTarget) const;

  /// Raises or lowers the limit; see AdjustLimit.
  void Adjust(const std::string& aTarget,
              const LimitSignal& aSignal,
              TimePoint aNow);

  /// Adds the response time of one request.
  void AddResponseTime(const std::string& aTarget, Duration aResponseTime);

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, TargetLimit> mLimits;
  };

  static size_t ShardOf(const std::string& aTarget);

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
