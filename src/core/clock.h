#pragma once

#include <chrono>
#include <cstdint>

namespace hibiscushold {

/// A point on the monotonic clock, used for deadlines among others.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of time. Decision functions take a TimePoint instead, which makes
/// them deterministic.
class Clock
{
public:
  virtual ~Clock() = default;

  /// @return the current point on the monotonic clock
  virtual TimePoint Now() const = 0;

  /// @return milliseconds since the Unix epoch
  virtual int64_t WallMillis() const = 0;
};

/// The clocks of the operating system. The monotonic clock includes the time in
/// which the machine was suspended, so that a deadline that passed during a
/// suspension has expired on resume.
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override;
  int64_t WallMillis() const override;
};

/// @return the time left until aDeadline, zero if it has passed
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
