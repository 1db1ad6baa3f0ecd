#include "fleet/repeats.h"

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
Forget(RetryWindow& aWindow, const RepeatBounds& aBounds, TimePoint aNow)
{
  DropBefore(aWindow.mRequests, aNow - aBounds.mWindow);
  DropBefore(aWindow.mRepeats, aNow - aBounds.mWindow);
}

bool
MayRepeat(const RetryWindow& aWindow,
          const RepeatBounds& aBounds,
          size_t aNodes)
{
  const double limit = aBounds.mRatio * kLocalRatioFraction *
                         static_cast<double>(aWindow.mRequests.size()) +
                       aBounds.mSlack / static_cast<double>(aNodes);
  return static_cast<double>(aWindow.mRepeats.size()) + 1 <= limit;
}

RepeatBudget::RepeatBudget(RepeatBounds aBounds)
  : mBounds(aBounds)
{
}

void
RepeatBudget::AddRequest(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  RetryWindow& window = mWindows[aService];
  Forget(window, mBounds, aNow);
  window.mRequests.push_back(aNow);
}

void
RepeatBudget::DealSlack(size_t aNodes)
{
  const std::lock_guard guard(mLock);
  mNodes = aNodes;
}

bool
RepeatBudget::TakeRepeat(const std::string& aService, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  RetryWindow& window = mWindows[aService];
  Forget(window, mBounds, aNow);
  if (!MayRepeat(window, mBounds, mNodes)) {
    return false;
  }
  window.mRepeats.push_back(aNow);
  return true;
}

} // namespace hibiscushold
