#pragma once

#include "core/clock.h"
#include "core/guard.h"

#include <functional>
#include <thread>

namespace hibiscushold {

/// Calls a function periodically on its own thread until destroyed, also after
/// calls that end with an exception. The destructor waits for a running call to
/// end.
class PeriodicTask
{
public:
  /// @param aPause time between the end of a call and the start of the next
  PeriodicTask(Duration aPause,
               std::function<void()> aTask,
               FailureHandler aOnFailure);

private:
  std::jthread mThread;
};

} // namespace hibiscushold
