#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Limits for retries, which are requests sent to a second target. They hold
/// for all nodes together.
struct RetryLimits
{
  double mRatio = 0.2; ///< retries per request
  milliseconds mWindow{ 10000 };
  double mSlack = 100; ///< retries in a window in addition to the ratio
};

/// Times of requests and retries in a sliding window, the oldest first.
struct RetryWindow
{
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRetries;
};

/// Removes the times before the window.
void
DropExpired(RetryWindow& aWindow, const RetryLimits& aLimits, TimePoint aNow);

/// @param aNodes number of nodes that share the slack
/// @return whether this node may retry one more request
bool
MayRetry(const RetryWindow& aWindow, const RetryLimits& aLimits, size_t aNodes);

/// This node's part of the retry budget of each service. Thread-safe.
class ServiceRetryBudget
{
public:
  /// @param aLimits limits for all nodes together
  explicit ServiceRetryBudget(RetryLimits aLimits);

  void AddRequest(const std::string& aService, TimePoint aNow);

  /// Sets the number of nodes among which the shared slack is divided.
  /// @param aNodes upper bound for the number of nodes
  void SetNodeCount(size_t aNodes);

  /// Consumes one retry, if the budget allows it.
  /// @return whether the request may be retried
  bool TryTakeRetry(const std::string& aService, TimePoint aNow);

private:
  const RetryLimits mLimits;
  std::mutex mLock; ///< guards the members below
  size_t mNodes = 16;
  std::map<std::string, RetryWindow> mWindows;
};

} // namespace hibiscushold
