#include "observe/taskfailure.h"

#include "observe/events.h"
#include "observe/processuse.h"

#include <utility>

namespace hibiscushold {

FailureHandler
LogFailuresOf(std::string aTask, Metrics& aMetrics)
{
  return [task = std::move(aTask), &aMetrics](std::string_view aReason) {
    try {
      LogEvent(EventId::TaskFailed,
               { { "task", task },
                 { "reason", std::string(aReason) },
                 { "process", Describe(MeasureProcess()) } });
      aMetrics.CountFailure(task);
    } catch (const std::bad_alloc&) {
      CountDroppedEvent();
    }
  };
}

} // namespace hibiscushold
