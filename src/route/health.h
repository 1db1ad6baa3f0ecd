#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hibiscushold {

/// Health of one target, based on its responses to this node.
struct TargetHealth
{
  /// Falls at once and rises slowly; see the function TimePerUnit.
  Duration mTimePerUnit{};
  uint32_t mSamples = 0;   ///< samples of mTimePerUnit since the last ejection
  uint32_t mFailures = 0;  ///< consecutive
  uint32_t mEjections = 0; ///< consecutive, without a stable period between
  TimePoint mEjectedUntil;
};

/// Adds a complete response.
/// @param aTimePerUnit time per unit of the response, or nothing if it was too
///        short to measure
/// @return the updated health
TargetHealth
AddSuccess(const TargetHealth& aHealth,
           std::optional<Duration> aTimePerUnit,
           TimePoint aNow);

/// Adds a failure. Several consecutive failures, or one while the target is
/// recovering from an ejection, eject the target. Each consecutive ejection
/// lasts twice as long as the one before, up to a maximum.
/// @return the updated health
TargetHealth
AddFailure(const TargetHealth& aHealth, TimePoint aNow);

/// @return weight of the target in load balancing: 0 while it is ejected, then
///         rising to 1 during recovery
double
WeightOf(const TargetHealth& aHealth, TimePoint aNow);

/// Finds targets that are much slower than the others of the same rule.
/// Together with the targets ejected already they are at most a third of all.
/// @return their indices, the slowest first
std::vector<size_t>
FindStragglers(std::span<const TargetHealth> aTargets, TimePoint aNow);

/// Ejects the target for a time that doubles with each consecutive ejection.
/// @return the updated health
TargetHealth
Eject(const TargetHealth& aHealth, TimePoint aNow);

/// Normalizes a response time by the length of the response. A unit is one
/// event of a stream, or a few bytes of a response that isn't streamed.
/// @param aResponseTime time from sending the request to the end of the
///        response
/// @param aEvents number of events of a stream, 0 if not streamed
/// @param aBytes size of the response body if not streamed
/// @return time per unit, or nothing if the response was too short to measure
std::optional<Duration>
TimePerUnit(Duration aResponseTime, uint64_t aEvents, size_t aBytes);

} // namespace hibiscushold
