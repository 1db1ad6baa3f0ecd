#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <functional>

namespace hibiscushold {

/// Deletes expired claims. Each step lists at most one shard, and limits the
/// number of deletions, so the store calls per step are bounded.
class ClaimSweeper
{
public:
  /// @param aRetention time for which claims are kept
  /// @param aShouldSweep returns whether this node sweeps the shard with the
  ///        given prefix
  ClaimSweeper(Platform& aPlatform,
               const Clock& aClock,
               milliseconds aRetention,
               std::function<bool(const std::string&)> aShouldSweep);

  /// @return the interval between steps at which each shard is visited four
  ///         times per retention time, limited to a minimum
  static Duration StepInterval(milliseconds aRetention);

  /// Sweeps the next shard.
  /// @return the number of claims deleted
  size_t Step();

private:
  Platform& mPlatform;
  const Clock& mClock;
  const milliseconds mRetention;
  const std::function<bool(const std::string&)> mShouldSweep;
  uint32_t mNextShard = 0;
};

} // namespace hibiscushold
