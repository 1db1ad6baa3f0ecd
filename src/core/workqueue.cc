#include "core/workqueue.h"

namespace hibiscushold {

WorkQueue::WorkQueue(size_t aMaxThreads, FailureHandler aOnFailure)
  : mMaxThreads(aMaxThreads)
  , mOnFailure(std::move(aOnFailure))
{
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
  {
    const std::lock_guard guard(mLock);
    mTasks.push_back(std::move(aTask));
    if (mTasks.size() > mIdleThreads && mThreads.size() < mMaxThreads) {
      mThreads.emplace_back([this] { Run(); });
    }
  }
  mChanged.notify_one();
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
