#include "core/periodictask.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace hibiscushold {

namespace {

/// Shortest pause after a call that failed, so that a task that fails each time
/// leaves the processor and the log to others.
constexpr Duration kFailurePause = milliseconds(200);

} // namespace

PeriodicTask::PeriodicTask(Duration aPause,
                           std::function<void()> aTask,
                           FailureHandler aOnFailure)
  : mThread([aPause,
             task = std::move(aTask),
             onFailure = std::move(aOnFailure)](const std::stop_token& aStop) {
    std::mutex lock;
    std::condition_variable_any wake;
    std::unique_lock guard(lock);
    while (!aStop.stop_requested()) {
      const Duration pause =
        RunGuarded(task, onFailure) ? aPause : std::max(aPause, kFailurePause);
      wake.wait_for(guard, aStop, pause, [] { return false; });
    }
  })
{
}

} // namespace hibiscushold
