#include "observe/taskfailure.h"

#include "observe/events.h"

#include <utility>

namespace hibiscushold {

FailureHandler
LogFailuresOf(std::string aTask)
{
  return [task = std::move(aTask)](std::string_view aReason) {
    try {
      LogEvent(EventId::TaskFailed,
               { { "task", task }, { "reason", std::string(aReason) } });
    } catch (const std::bad_alloc&) {
      CountDroppedEvent();
    }
  };
}

} // namespace hibiscushold
