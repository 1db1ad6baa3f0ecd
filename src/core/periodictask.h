#pragma once

#include "core/clock.h"

#include <functional>
#include <thread>

namespace hibiscushold {

/// Calls a function periodically on its own thread until destroyed. The
/// destructor waits for a running call to end.
class PeriodicTask
{
public:
  /// @param aPause time between the end of a call and the start of the next
  PeriodicTask(Duration aPause, std::function<void()> aTask);

private:
  std::jthread mThread;
};

} // namespace hibiscushold
