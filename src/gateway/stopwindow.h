#pragma once

#include "core/clock.h"

#include <atomic>
#include <optional>

namespace hibiscushold {

/// Until when a node takes and serves requests; without end while it is not
/// stopping. Thread-safe.
struct StopWindow
{
  /// From then on only requests whose deadline is before mServeUntil are taken.
  std::atomic<TimePoint> mTakeUntil{ TimePoint::max() };
  /// Requests without an answer get one then, as the process is about to exit.
  std::atomic<TimePoint> mServeUntil{ TimePoint::max() };
};

/// Decides whether a request that has arrived may be taken, or is to be sent
/// elsewhere as the stop would cut it.
/// @param aDeadline end of the request at the latest
/// @param aUsualTime what such requests usually take, if that is known
bool
MayTake(const StopWindow& aWindow,
        TimePoint aDeadline,
        std::optional<Duration> aUsualTime,
        TimePoint aNow);

/// @return whether requests without an answer are to get one now
bool
HasEnded(const StopWindow& aWindow, TimePoint aNow);

} // namespace hibiscushold
