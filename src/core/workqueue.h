#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hibiscushold {

/// A thread pool with a FIFO queue. The destructor waits for running tasks and
/// discards queued ones.
class WorkQueue
{
public:
  explicit WorkQueue(size_t aThreads);
  ~WorkQueue();

  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  void Add(std::function<void()> aTask);

private:
  void Run();

  std::mutex mLock;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mTasks;
  bool mStopping = false;
  std::vector<std::jthread> mThreads;
};

} // namespace hibiscushold
