#pragma once

#include "route/admission.h"
#include "route/fairqueue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace hibiscushold {

/// Limits the number of concurrent requests to one pool of targets, and queues
/// or denies the rest. Thread-safe.
class AdmissionQueue
{
public:
  /// @param aQueueBound maximum number of waiting requests
  AdmissionQueue(size_t aQueueBound, const Clock& aClock);

  /// Blocks until the request may start or is denied. Each admitted request
  /// must be followed by one call of Release.
  /// @return nothing if the request is admitted, otherwise why it is denied
  std::optional<Denial> Acquire(QueuedRequest aRequest, TimePoint aDeadline);

  /// Ends an admitted request.
  /// @param aServiceTime how long the request ran, or nothing if that isn't
  ///        representative of other requests
  void Release(std::optional<Duration> aServiceTime);

  /// @param aCapacity maximum number of concurrent requests; 0 if no target is
  ///        available
  /// @param aSaturated whether a target's limit has been lowered before
  ///        because requests queued there
  void SetCapacity(uint32_t aCapacity, bool aSaturated);

  /// @return whether any requests are waiting
  bool HasWaiting() const;

private:
  /// State of one blocked call of Acquire.
  struct Waiter
  {
    std::condition_variable mWake;
    bool mStarted = false;
    std::optional<Denial> mDenial;
  };

  /// Updates mNonEmptySince when a request of this class arrives.
  void UpdateNonEmptySince(Priority aPriority, TimePoint aNow);
  PoolState StateFor(const QueuedRequest& aRequest) const;
  std::optional<Denial> WaitForTurn(std::unique_lock<std::mutex>& aGuard,
                                    QueuedRequest aRequest,
                                    TimePoint aDeadline);
  void ShedOne();
  /// Starts waiting requests while there is capacity.
  void StartNext();

  const size_t mQueueBound;
  const Clock& mClock;
  mutable std::mutex mLock;
  FairQueue mQueue;
  std::map<uint64_t, Waiter*> mWaiters;
  ServiceTime mServiceTime;
  /// Per priority class: since when requests of this class or a higher one have
  /// been waiting without a break.
  std::array<TimePoint, kPriorities> mNonEmptySince;
  uint64_t mNextId = 0;
  uint32_t mRunning = 0;
  uint32_t mCapacity = 0;
  bool mSaturated = false;
};

} // namespace hibiscushold
