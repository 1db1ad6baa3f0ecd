#include "core/clock.h"
#include "core/parallel.h"
#include "core/periodictask.h"
#include "core/workqueue.h"

#include <atomic>
#include <filesystem>
#include <iterator>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

size_t
CountThreads()
{
  const std::filesystem::directory_iterator tasks("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(tasks), end(tasks)));
}

} // namespace

TEST_GROUP(WorkQueue)
{
  std::atomic<int> mRunning{ 0 };
  std::atomic<int> mMostRunning{ 0 };
  std::atomic<int> mDone{ 0 };

  void Work()
  {
    const int running = ++mRunning;
    int most = mMostRunning;
    while (running > most &&
           !mMostRunning.compare_exchange_weak(most, running)) {
    }
    std::this_thread::sleep_for(milliseconds(50));
    --mRunning;
    ++mDone;
  }

  void WaitUntilDone(int aTasks) const
  {
    for (int n = 0; n < 500 && mDone < aTasks; ++n) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_EQUAL(aTasks, mDone.load());
  }
};

// Guards against threads that every node starts and only the planner uses.
TEST(WorkQueue, StartsNoThreadWithoutWork)
{
  const size_t before = CountThreads();
  const WorkQueue queue(24, [](std::string_view) {});
  CHECK(CountThreads() <= before); // those of earlier tests may end
}

// Guards against tasks that wait although fewer than the limit run, and against
// more than the limit.
TEST(WorkQueue, RunsAsManyTasksAtOnceAsItMay)
{
  WorkQueue queue(3, [](std::string_view) {});
  for (int n = 0; n < 7; ++n) {
    queue.Add([this] { Work(); });
  }
  WaitUntilDone(7);
  CHECK_EQUAL(3, mMostRunning.load());
}

// Guards against a thread for each task while others are idle.
TEST(WorkQueue, UsesAnIdleThreadAgain)
{
  WorkQueue queue(24, [](std::string_view) {});
  queue.Add([this] { Work(); });
  WaitUntilDone(1);
  std::this_thread::sleep_for(milliseconds(50));
  const size_t before = CountThreads();
  queue.Add([this] { Work(); });
  WaitUntilDone(2);
  CHECK(CountThreads() <= before); // those of earlier tests may end
}

/// Each thread that is started by the node itself goes on after an exception,
/// which would otherwise end the process with the requests at work.
TEST_GROUP(Guard)
{
  std::atomic<int> mCalls{ 0 };
  std::atomic<int> mFailures{ 0 };
  const FailureHandler mOnFailure = [this](std::string_view aReason) {
    mFailures += aReason == "odd" ? 1 : 0;
  };

  void Fail()
  {
    ++mCalls;
    throw std::runtime_error("odd");
  }

  void WaitForCalls(int aCalls) const
  {
    for (int n = 0; n < 500 && mCalls < aCalls; ++n) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(mCalls >= aCalls);
  }
};

// Guards against a periodic task whose exception ends the process.
TEST(Guard, APeriodicTaskGoesOnAfterAnException)
{
  const PeriodicTask task(
    milliseconds(1), [this] { Fail(); }, mOnFailure);
  WaitForCalls(2);
  CHECK(mFailures >= 1);
}

// Guards against a queued task whose exception ends the process.
TEST(Guard, AWorkQueueGoesOnAfterAnException)
{
  WorkQueue queue(1, mOnFailure);
  queue.Add([this] { Fail(); });
  queue.Add([this] { Fail(); });
  WaitForCalls(2);
  CHECK(mFailures >= 1);
}

// Guards against a parallel call whose exception ends the process: the caller
// gets it after the other calls.
TEST(Guard, AParallelCallPassesItsExceptionOn)
{
  CHECK_THROWS(std::runtime_error,
               ForEachInParallel(4, 2, [this](size_t) { Fail(); }));
  CHECK_EQUAL(4, mCalls.load());
}
