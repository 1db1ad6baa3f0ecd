#include "observe/metrics.h"
#include "observe/processuse.h"
#include "observe/taskfailure.h"

#include <latch>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(ProcessUse){};

// Guards against figures that don't tell threads that use up the address space
// from memory that is in use.
TEST(ProcessUse, TellsMemoryFromAddressSpaceAndThreads)
{
  const ProcessUse before = MeasureProcess();
  CHECK(before.mThreads >= 1);
  CHECK(before.mResidentBytes > 0);
  CHECK(before.mAddressSpaceBytes > before.mResidentBytes);
  std::latch started(9);
  std::latch mayEnd(1);
  std::vector<std::jthread> threads;
  for (int n = 0; n < 8; ++n) {
    threads.emplace_back([&] {
      started.count_down();
      mayEnd.wait();
    });
  }
  started.arrive_and_wait();
  const ProcessUse during = MeasureProcess();
  mayEnd.count_down();
  CHECK(during.mThreads >= 8 + 1);
}

// Guards against a task that fails again and again without a sign in the
// metrics.
TEST(ProcessUse, FailedTasksAreCountedByTask)
{
  Metrics metrics;
  RunGuarded([] { throw std::bad_alloc(); }, LogFailuresOf("plan", metrics));
  STRCMP_CONTAINS("hibiscushold_failures_total{task=\"plan\"} 1",
                  metrics.Render().c_str());
}
