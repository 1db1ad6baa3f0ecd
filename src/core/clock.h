#pragma once

#include <chrono>
#include <cstdint>

namespace hibiscushold {

/// A point on the monotonic clock. Deadlines are stored as these.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of time. Shells read it; decisions are given a TimePoint.
class Clock
{
public:
  virtual ~Clock() = default;

  /// @return the current point on the monotonic clock
  virtual TimePoint Now() const = 0;

  /// @return milliseconds since the Unix epoch
  virtual int64_t WallMillis() const = 0;
};

/// The machine's own clocks. Time in which the machine was suspended counts,
/// so that a deadline that passed meanwhile is seen as passed.
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override;
  int64_t WallMillis() const override;
};

/// @return the time left until aDeadline, never negative
inline Duration
TimeLeft(TimePoint aDeadline, TimePoint aNow)
{
  return aDeadline > aNow ? aDeadline - aNow : Duration::zero();
}

/// @return aDuration in whole milliseconds
inline int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace hibiscushold
