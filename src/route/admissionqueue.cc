#include "route/admissionqueue.h"

namespace hibiscushold {

namespace {

/// Maximum time between checks of a waiting request's deadline, which moves
/// with the state of the queue and the service time.
constexpr auto kRecheckInterval = milliseconds(200);

} // namespace

AdmissionQueue::AdmissionQueue(size_t aQueueBound, const Clock& aClock)
  : mQueueBound(aQueueBound)
  , mClock(aClock)
{
}

std::optional<Denial>
AdmissionQueue::Acquire(QueuedRequest aRequest, TimePoint aDeadline)
{
  std::unique_lock guard(mLock);
  const AdmissionDecision decision =
    DecideAdmission(StateFor(aRequest), aDeadline, mClock.Now());
  switch (decision.mAction) {
    case AdmissionAction::Start:
      ++mRunning;
      return std::nullopt;
    case AdmissionAction::Deny:
      return decision.mDenial;
    case AdmissionAction::Wait:
    case AdmissionAction::WaitAndShed:
      break;
  }
  return WaitForTurn(guard, std::move(aRequest), aDeadline);
}

std::optional<Denial>
AdmissionQueue::WaitForTurn(std::unique_lock<std::mutex>& aGuard,
                            QueuedRequest aRequest,
                            TimePoint aDeadline)
{
  const uint64_t id = ++mNextId;
  const auto priority = static_cast<size_t>(aRequest.mPriority);
  const TimePoint arrivedAt = mClock.Now();
  UpdateNonEmptySince(aRequest.mPriority, arrivedAt);
  aRequest.mId = id;
  Waiter waiter;
  mWaiters[id] = &waiter;
  mQueue.Push(std::move(aRequest));
  if (mQueue.Size() > mQueueBound) {
    ShedOne();
  }
  StartNext();
  while (!waiter.mStarted && !waiter.mDenial) {
    const TimePoint now = mClock.Now();
    const TimePoint queueDeadline =
      QueueDeadline(mServiceTime,
                    { arrivedAt, mNonEmptySince[priority], mSaturated },
                    aDeadline);
    if (now >= queueDeadline) {
      mQueue.Remove(id);
      waiter.mDenial =
        Denial{ DenyReason::TooLate, ExpectedWait(StateFor({}), 0) };
      break;
    }
    const Duration timeout =
      std::min<Duration>(queueDeadline - now, kRecheckInterval);
    waiter.mWake.wait_for(aGuard, timeout);
    StartNext();
  }
  mWaiters.erase(id);
  return waiter.mDenial;
}

void
AdmissionQueue::Release(std::optional<Duration> aServiceTime)
{
  const std::lock_guard guard(mLock);
  --mRunning;
  if (aServiceTime) {
    mServiceTime = AddSample(mServiceTime, *aServiceTime);
  }
  StartNext();
}

void
AdmissionQueue::SetCapacity(uint32_t aCapacity, bool aSaturated)
{
  const std::lock_guard guard(mLock);
  mCapacity = aCapacity;
  mSaturated = aSaturated;
  StartNext();
}

bool
AdmissionQueue::HasWaiting() const
{
  const std::lock_guard guard(mLock);
  return mQueue.Size() > 0;
}

PoolState
AdmissionQueue::StateFor(const QueuedRequest& aRequest) const
{
  const size_t ahead =
    mQueue.CountAhead(aRequest.mPriority, aRequest.mAccount, aRequest.mShare);
  return {
    mRunning, mCapacity, ahead, mQueue.Size(), mQueueBound, mServiceTime
  };
}

void
AdmissionQueue::UpdateNonEmptySince(Priority aPriority, TimePoint aNow)
{
  for (auto i = static_cast<size_t>(aPriority); i < kPriorities; ++i) {
    if (mQueue.SizeUpTo(static_cast<Priority>(i)) == 0) {
      mNonEmptySince[i] = aNow;
    }
  }
}

void
AdmissionQueue::ShedOne()
{
  const std::optional<QueuedRequest> shed = mQueue.Shed();
  if (!shed) {
    return;
  }
  Waiter& waiter = *mWaiters.at(shed->mId);
  waiter.mDenial =
    Denial{ DenyReason::Shed, ExpectedWait(StateFor(*shed), mQueue.Size()) };
  waiter.mWake.notify_one();
}

void
AdmissionQueue::StartNext()
{
  // If no target is available, all waiting requests are started, so that the
  // dispatcher answers each with an error.
  while (mRunning < mCapacity || mCapacity == 0) {
    const std::optional<QueuedRequest> request = mQueue.Pop();
    if (!request) {
      return;
    }
    ++mRunning;
    Waiter& waiter = *mWaiters.at(request->mId);
    waiter.mStarted = true;
    waiter.mWake.notify_one();
  }
}

} // namespace hibiscushold
