#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Bounds on requests sent to a second target, over all nodes.
struct RepeatBounds
{
  double mRatio = 0.2; ///< repeats for each request
  milliseconds mWindow{ 10000 };
  double mSlack = 100; ///< repeats in a window beyond the ratio
};

/// Requests and repeats in a sliding window.
struct RepeatWindow
{
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRepeats;
};

/// Forgets what lies before the window.
void
Forget(RepeatWindow& aWindow, const RepeatBounds& aBounds, TimePoint aNow);

/// @param aNodes how many nodes deal the slack
/// @return whether this node may repeat one more request
bool
MayRepeat(const RepeatWindow& aWindow,
          const RepeatBounds& aBounds,
          size_t aNodes);

/// This node's part of the budget for repeats, by service. Safe for several
/// threads.
class RepeatBudget
{
public:
  /// @param aBounds bounds that hold for all nodes together
  explicit RepeatBudget(RepeatBounds aBounds);

  void AddRequest(const std::string& aService, TimePoint aNow);

  /// @param aNodes how many nodes deal the common slack, at the most
  void DealSlack(size_t aNodes);

  /// Takes one repeat.
  /// @return whether there was one
  bool TakeRepeat(const std::string& aService, TimePoint aNow);

private:
  const RepeatBounds mBounds;
  std::mutex mLock; ///< guards what follows
  size_t mNodes = 16;
  std::map<std::string, RepeatWindow> mWindows;
};

} // namespace hibiscushold
