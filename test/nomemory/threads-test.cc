#include "core/clock.h"
#include "core/parallel.h"
#include "core/workqueue.h"
#include "nomemory/refusal.h"

#include <atomic>
#include <system_error>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

namespace {

void
WaitFor(const std::atomic<int>& aCount, int aAtLeast)
{
  for (int n = 0; n < 500 && aCount < aAtLeast; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(aCount >= aAtLeast);
}

} // namespace

/// The start of a thread is refused.
TEST_GROUP(NoThread){};

// Guards against tasks that are lost, and a step of the planner that ends half
// way, when no further thread can be started.
TEST(NoThread, QueuedTasksWaitForTheThreadsThatThereAre)
{
  std::atomic<int> done{ 0 };
  std::atomic<int> failures{ 0 };
  WorkQueue queue(4, [&](std::string_view) { ++failures; });
  queue.Add([&] { ++done; });
  WaitFor(done, 1);
  {
    const ThreadRefusal refusal;
    for (int n = 0; n < 8; ++n) {
      queue.Add([&] {
        std::this_thread::sleep_for(milliseconds(5));
        ++done;
      });
    }
  }
  WaitFor(done, 9);
  CHECK(failures >= 1);
}

// Guards against a task that waits for ever because there is no thread at all.
TEST(NoThread, AddingATaskThrowsWithoutAnyThread)
{
  std::atomic<int> done{ 0 };
  WorkQueue queue(4, [](std::string_view) {});
  {
    const ThreadRefusal refusal;
    CHECK_THROWS(std::system_error, queue.Add([&] { done += 100; }));
  }
  queue.Add([&] { ++done; });
  WaitFor(done, 1);
  CHECK_EQUAL(1, done.load());
}

// Guards against parallel calls that are left out when no thread can be
// started.
TEST(NoThread, ParallelCallsRunOnTheCallingThread)
{
  std::atomic<int> calls{ 0 };
  const ThreadRefusal refusal;
  ForEachInParallel(5, 3, [&](size_t) { ++calls; });
  CHECK_EQUAL(5, calls.load());
}
