#include "core/periodictask.h"

#include <condition_variable>
#include <mutex>

namespace hibiscushold {

PeriodicTask::PeriodicTask(Duration aPause, std::function<void()> aTask)
  : mThread([aPause, task = std::move(aTask)](const std::stop_token& aStop) {
    std::mutex lock;
    std::condition_variable_any wake;
    std::unique_lock guard(lock);
    while (!aStop.stop_requested()) {
      task();
      wake.wait_for(guard, aStop, aPause, [] { return false; });
    }
  })
{
}

} // namespace hibiscushold
