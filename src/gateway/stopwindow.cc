#include "gateway/stopwindow.h"

namespace hibiscushold {

bool
MayTake(const StopWindow& aWindow,
        TimePoint aDeadline,
        std::optional<Duration> aUsualTime,
        TimePoint aNow)
{
  const TimePoint serveUntil = aWindow.mServeUntil;
  if (aDeadline <= serveUntil) {
    return true;
  }
  return aNow < aWindow.mTakeUntil.load() && aUsualTime &&
         *aUsualTime <= serveUntil - aNow;
}

bool
HasEnded(const StopWindow& aWindow, TimePoint aNow)
{
  return aNow >= aWindow.mServeUntil.load();
}

} // namespace hibiscushold
