#include "core/workqueue.h"

namespace hibiscushold {

WorkQueue::WorkQueue(size_t aMaxThreads, FailureHandler aOnFailure)
  : mMaxThreads(aMaxThreads)
  , mOnFailure(std::move(aOnFailure))
{
  mThreads.reserve(aMaxThreads);
}

WorkQueue::~WorkQueue()
{
  {
    const std::lock_guard guard(mLock);
    mStopping = true;
  }
  mChanged.notify_all();
}

void
WorkQueue::Add(std::function<void()> aTask)
{
  std::optional<std::string> failure;
  {
    const std::lock_guard guard(mLock);
    mTasks.push_back(std::move(aTask));
    if (mTasks.size() > mIdleThreads && mThreads.size() < mMaxThreads) {
      failure = StartThread();
    }
  }
  mChanged.notify_one();
  if (failure) {
    RunGuarded([&] { mOnFailure(*failure); }, [](std::string_view) {});
  }
}

std::optional<std::string>
WorkQueue::StartThread()
{
  try {
    mThreads.emplace_back([this] { Run(); });
    return std::nullopt;
  } catch (const std::exception&) {
    if (mThreads.empty()) {
      mTasks.pop_back();
      throw;
    }
    return DescribeException();
  }
}

void
WorkQueue::Run()
{
  for (;;) {
    std::function<void()> task;
    {
      std::unique_lock guard(mLock);
      ++mIdleThreads;
      mChanged.wait(guard, [this] { return mStopping || !mTasks.empty(); });
      --mIdleThreads;
      if (mStopping) {
        return;
      }
      task = std::move(mTasks.front());
      mTasks.pop_front();
    }
    RunGuarded(task, mOnFailure);
  }
}

} // namespace hibiscushold
