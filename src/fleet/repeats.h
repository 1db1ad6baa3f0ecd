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
struct RepeatBounds
{
  double mRatio = 0.2; ///< retries per request
  milliseconds mWindow{ 10000 };
  double mSlack = 100; ///< retries in a window in addition to the ratio
};

/// Times of requests and retries in a sliding window, the oldest first.
struct RetryWindow
{
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRepeats;
};

/// Removes the times before the window.
void
Forget(RetryWindow& aWindow, const RepeatBounds& aBounds, TimePoint aNow);

/// @param aNodes number of nodes that share the slack
/// @return whether this node may retry one more request
bool
MayRepeat(const RetryWindow& aWindow,
          const RepeatBounds& aBounds,
          size_t aNodes);

/// This node's part of the retry budget of each service. Thread-safe.
class RepeatBudget
{
public:
  /// @param aBounds limits for all nodes together
  explicit RepeatBudget(RepeatBounds aBounds);

  void AddRequest(const std::string& aService, TimePoint aNow);

  /// Divides the common slack.
  /// @param aNodes number of nodes that share it, at the most
  void DealSlack(size_t aNodes);

  /// Consumes one retry, if the budget allows it.
  /// @return whether the request may be retried
  bool TakeRepeat(const std::string& aService, TimePoint aNow);

private:
  const RepeatBounds mBounds;
  std::mutex mLock; ///< guards the members below
  size_t mNodes = 16;
  std::map<std::string, RetryWindow> mWindows;
};

} // namespace hibiscushold
