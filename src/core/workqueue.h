#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hibiscushold {

/// Runs tasks on a fixed number of threads, in the order of their arrival.
/// Tasks that have not begun when it is destroyed are dropped.
class WorkQueue
{
public:
  /// @param aThreads number of threads
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
