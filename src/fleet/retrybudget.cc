#include "fleet/retrybudget.h"

namespace hibiscushold {

namespace {

/// Fraction of the common ratio that each node uses; the rest allows for the
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
DropExpired(RetryWindow& aWindow, const RetryLimits& aBounds, TimePoint aNow)
{
  DropBefore(aWindow.mRequests, aNow - aBounds.mWindow);
  DropBefore(aWindow.mRetries, aNow - aBounds.mWindow);
}

bool
MayRetry(const RetryWindow& aWindow, const RetryLimits& aBounds, size_t aNodes)
{
  const double limit = aBounds.mRatio * kLocalRatioFraction *
                         static_cast<double>(aWindow.mRequests.size()) +
                       aBounds.mSlack / static_cast<double>(aNodes);
  return static_cast<double>(aWindow.mRetries.size()) + 1 <= limit;
}

ServiceRetryBudget::ServiceRetryBudget(RetryLimits aBounds)
  : mBounds(aBounds)
{
}

void
ServiceRetryBudget::AddRequest(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  RetryWindow& window = mWindows[aService];
  DropExpired(window, mBounds, aNow);
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
  DropExpired(window, mBounds, aNow);
  if (!MayRetry(window, mBounds, mNodes)) {
    return false;
  }
  window.mRetries.push_back(aNow);
  return true;
}

} // namespace hibiscushold
