#pragma once

#include "route/health.h"

#include <array>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// Health of the targets as seen by this node. Thread-safe; sharded, with one
/// lock per shard.
class HealthTable
{
public:
  /// Adds a complete response.
  /// @param aTimePerUnit time per unit of the response, or nothing if it was
  ///        too short to measure
  void AddSuccess(const std::string& aTarget,
                  std::optional<Duration> aTimePerUnit,
                  TimePoint aNow);

  /// Adds a failure.
  /// @return whether this failure ejected the target
  bool AddFailure(const std::string& aTarget, TimePoint aNow);

  /// @return weight of the target in load balancing, from 0 (ejected) to 1
  double WeightOf(const std::string& aTarget, TimePoint aNow) const;

  /// Ejects targets that are much slower than the others of the same rule.
  /// @param aTargets ids of the rule's targets
  /// @return ids of the targets ejected by this call
  std::vector<std::string> EjectStragglers(
    std::span<const std::string> aTargets,
    TimePoint aNow);

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, TargetHealth> mTargets;
  };

  static size_t ShardOf(const std::string& aTarget);
  TargetHealth Find(const std::string& aTarget) const;
  void Put(const std::string& aTarget, const TargetHealth& aHealth);

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
