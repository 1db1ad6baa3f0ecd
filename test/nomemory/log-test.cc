#include "core/guard.h"
#include "nomemory/refusal.h"
#include "observe/events.h"
#include "observe/taskfailure.h"

#include <new>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

const std::string kLongText(200, 'x');

} // namespace

/// Events that can't be written for want of memory are counted.
TEST_GROUP(NoMemoryLog){
  void setup() override{ StartLog("info", true, LogOutput::StandardOutput);
}
}
;

// Guards against a failure that ends the process because it can't be logged.
TEST(NoMemoryLog, AFailedTaskIsReportedWithoutMemory)
{
  Metrics metrics;
  const FailureHandler log = LogFailuresOf("task", metrics);
  const auto run = [&](size_t aGranted) {
    const MemoryRefusal refusal(aGranted);
    RunGuarded([] { throw std::bad_alloc(); }, log);
    return MemoryRefusal::HasRefused();
  };
  CHECK(ForEachAllocation(run) > 3);
}

// Guards against an event whose writing ends what it reports on.
TEST(NoMemoryLog, AnEventIsWrittenOrCounted)
{
  const auto write = [](size_t aGranted) {
    const std::initializer_list<EventField> fields{ { "reason", kLongText } };
    const MemoryRefusal refusal(aGranted);
    LogEvent(EventId::TaskFailed, fields);
    return MemoryRefusal::HasRefused();
  };
  CHECK(ForEachAllocation(write) > 3);
}
