#include "fleet/retrybudget.h"

namespace hibiscushold {

namespace {

/// Fraction of the shared ratio that each node uses; the rest allows for the
/// different start times of the nodes' windows.
constexpr double kLocalRatioFraction = 0.75;

void
DropBefore(std::deque<TimePoint>& aTimes, TimePoint aStart)
{
  while (!aTimes.empty() && aTimes.front() < aStart) {
    aTimes.pop_front();
  }
}

} // namespace

void
DropExpired(RetryWindow& aWindow, const RetryLimits& aLimits, TimePoint aNow)
{
  DropBefore(aWindow.mRequests, aNow - aLimits.mWindow);
  DropBefore(aWindow.mRetries, aNow - aLimits.mWindow);
}

bool
MayRetry(const RetryWindow& aWindow, const RetryLimits& aLimits, size_t aNodes)
{
  const double limit = aLimits.mRatio * kLocalRatioFraction *
                         static_cast<double>(aWindow.mRequests.size()) +
                       aLimits.mSlack / static_cast<double>(aNodes);
  return static_cast<double>(aWindow.mRetries.size()) + 1 <= limit;
}

ServiceRetryBudget::ServiceRetryBudget(RetryLimits aLimits)
  : mLimits(aLimits)
{
}

void
ServiceRetryBudget::AddRequest(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  RetryWindow& window = mWindows[aService];
  DropExpired(window, mLimits, aNow);
  window.mRequests.push_back(aNow);
}

void
ServiceRetryBudget::SetNodeCount(size_t aNodes)
{
  const std::lock_guard guard(mLock);
  mNodes = aNodes;
}

bool
ServiceRetryBudget::TryTakeRetry(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  RetryWindow& window = mWindows[aService];
  DropExpired(window, mLimits, aNow);
  if (!MayRetry(window, mLimits, mNodes)) {
    return false;
  }
  window.mRetries.push_back(aNow);
  return true;
}

} // namespace hibiscushold
