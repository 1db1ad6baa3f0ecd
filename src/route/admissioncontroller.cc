#include "route/admissioncontroller.h"

#include "observe/events.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr auto kCapacityRefreshInterval = milliseconds(100);

} // namespace

AdmissionController::Permit::Permit(AdmissionController& aController,
                                    AdmissionQueue& aQueue,
                                    std::string aAccount)
  : mController(aController)
  , mQueue(aQueue)
  , mAccount(std::move(aAccount))
  , mStartedAt(aController.mDependencies.mClock.Now())
{
}

AdmissionController::Permit::~Permit()
{
  std::optional<Duration> serviceTime;
  if (mAnswered) {
    serviceTime = mController.mDependencies.mClock.Now() - mStartedAt;
  }
  mQueue.Release(serviceTime);
  mController.mDependencies.mAccounts.Release(mAccount);
}

AdmissionController::AdmissionController(Dependencies aDependencies,
                                         size_t aQueueBound)
  : mDependencies(aDependencies)
  , mQueueBound(aQueueBound)
{
}

AdmissionController::AdmissionResult<
  std::unique_ptr<AdmissionController::Permit>>
AdmissionController::Admit(const AdmissionRequest& aRequest)
{
  const AccountRule& account = aRequest.mAccount;
  std::optional<Denial> denial =
    mDependencies.mAccounts.Acquire(account, mDependencies.mClock.Now());
  if (denial) {
    return CountDenial(*denial);
  }
  Pool& pool = PoolOf(aRequest.mMatch.mRoute->mDestination);
  RefreshCapacity(pool, aRequest.mMatch);
  QueuedRequest queued;
  queued.mAccount = account.mName;
  queued.mShare = account.mQueueWeight;
  queued.mPriority = aRequest.mMatch.mPolicy->mPriority;
  denial = pool.mQueue.Acquire(std::move(queued), aRequest.mDeadline);
  if (denial) {
    mDependencies.mAccounts.Release(account.mName);
    return CountDenial(*denial);
  }
  return std::make_unique<Permit>(*this, pool.mQueue, account.mName);
}

AdmissionController::Pool&
AdmissionController::PoolOf(const std::string& aName)
{
  Shard& shard = mShards[std::hash<std::string>()(aName) % kShards];
  const std::lock_guard guard(shard.mLock);
  return shard.mPools.try_emplace(aName, mQueueBound, mDependencies.mClock)
    .first->second;
}

void
AdmissionController::RefreshCapacity(Pool& aPool, const RouteMatch& aMatch)
{
  const TimePoint now = mDependencies.mClock.Now();
  {
    const std::lock_guard guard(aPool.mLock);
    if (now < aPool.mNextRefresh) {
      return;
    }
    aPool.mNextRefresh = now + kCapacityRefreshInterval;
  }
  const bool hasWaiting = aPool.mQueue.HasWaiting();
  uint32_t capacity = 0;
  bool saturated = false;
  std::vector<std::string> targets;
  for (const Candidate& it : mDependencies.mTargets.Find(aMatch, {})) {
    mDependencies.mLimits.Adjust(
      it.mId, { it.mLoadReport, it.mInFlight, hasWaiting }, now);
    saturated = saturated || mDependencies.mLimits.WasLowered(it.mId);
    if (it.mWeight > 0) {
      const double weighted =
        mDependencies.mLimits.LimitOf(it.mId) * it.mWeight;
      capacity += std::max(1U, static_cast<uint32_t>(weighted));
    }
    targets.push_back(it.mId);
  }
  EjectStragglers(targets, now);
  aPool.mQueue.SetCapacity(capacity, saturated);
}

void
AdmissionController::EjectStragglers(const std::vector<std::string>& aTargets,
                                     TimePoint aNow)
{
  for (const std::string& it :
       mDependencies.mHealth.EjectStragglers(aTargets, aNow)) {
    mDependencies.mMetrics.CountEjection("slow");
    LogEvent(EventId::TargetEjected,
             { { "target", it }, { "reason", "slow" } });
  }
}

Denial
AdmissionController::CountDenial(const Denial& aDenial)
{
  mDependencies.mMetrics.CountDenial(NameOf(aDenial.mReason));
  return aDenial;
}

} // namespace hibiscushold
