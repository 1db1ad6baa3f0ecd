#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace hibiscushold {

/// Load reported by an engine.
struct LoadReport
{
  TimePoint mRequestedAt; ///< when the report was requested
  uint32_t mRunning = 0;  ///< requests that run at the engine
  uint32_t mQueued = 0;   ///< requests that wait at the engine
};

/// Adaptive concurrency limit of this node at one target.
struct TargetLimit
{
  double mLimit = 8;
  /// Lowered at least once; until then it grows faster.
  bool mWasLowered = false;
  TimePoint mChangedAt;
  Duration mMean{}; ///< mean response time, used if there are no load reports
  Duration mMin{};  ///< minimum response time that rises slowly
};

/// Observations from which a target's limit is adjusted.
struct LimitSignal
{
  std::optional<LoadReport> mLoadReport; ///< none for plain services
  uint32_t mInFlight = 0;
  bool mHasWaiting = false; ///< requests wait on this node for capacity
};

/// Raises the limit by a factor while it is used up and no requests queue at
/// the target, and lowers it when a queue builds up there. Load reports lag, so
/// a report counts only if it was requested after the latest change of the
/// limit.
/// @return the adjusted limit
TargetLimit
AdjustLimit(const TargetLimit& aLimit,
            const LimitSignal& aSignal,
            TimePoint aNow);

/// Adds the response time of one request.
/// @return the limit with updated statistics
TargetLimit
AddResponseTime(const TargetLimit& aLimit, Duration aResponseTime);

} // namespace hibiscushold
