#pragma once

#include "core/guard.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hibiscushold {

/// A thread pool with a FIFO queue, which starts its threads when there is work
/// for them. A task that ends with an exception leaves its thread to the
/// others. The destructor waits for running tasks and discards queued ones.
class WorkQueue
{
public:
  /// @param aMaxThreads tasks that run at once
  /// @param aOnFailure receives the reasons of failed tasks, and why a thread
  ///        could not be started
  WorkQueue(size_t aMaxThreads, FailureHandler aOnFailure);
  ~WorkQueue();

  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  /// A task waits for the threads that there are if no further one can be
  /// started.
  /// @throw std::system_error, std::bad_alloc when there is none at all, or no
  ///        memory for the task; it isn't queued then
  void Add(std::function<void()> aTask);

private:
  /// Starts a thread. Call with the lock held.
  /// @return why it can't be started, or nothing
  /// @throw see Add
  std::optional<std::string> StartThread();
  void Run();

  const size_t mMaxThreads;
  const FailureHandler mOnFailure;
  std::mutex mLock; ///< guards the members below
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mTasks;
  size_t mIdleThreads = 0;
  bool mStopping = false;
  std::vector<std::jthread> mThreads;
};

} // namespace hibiscushold
