#include "core/clock.h"

#include <ctime>

namespace hibiscushold {

TimePoint
SystemClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

int64_t
SystemClock::WallMillis() const
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace hibiscushold
