#pragma once

#include "cluster/view.h"
#include "config/agent.h"
#include "config/coordinator.h"
#include "core/clock.h"

#include <json/value.h>

namespace hibiscushold {

/// Passes reads of the head object, from the store and from other members, to
/// the agent, and clears pending changes that their coordinator did not finish.
/// OnView and ClearAbandonedChange are called by one thread each, OnStatus by
/// several.
class ConfigFollower
{
public:
  /// @param aMaxHeadAge how long a read of the head is valid
  ConfigFollower(ConfigAgent& aAgent,
                 ConfigCoordinator& aCoordinator,
                 const Clock& aClock,
                 Duration aMaxHeadAge);

  /// Handles a new view of the store.
  void OnView(const ClusterView& aView);

  /// Handles another member's response to a status call.
  /// @param aRequestedAt when the call was sent
  void OnStatus(const Json::Value& aStatus, TimePoint aRequestedAt);

  /// Clears the pending change of a view if its coordinator has not finished it
  /// in time. To be called periodically.
  /// @param aPreferred whether this node is the first that should clear it
  void ClearAbandonedChange(const ClusterView& aView, bool aPreferred);

private:
  void ApplyAndStage();

  ConfigAgent& mAgent;
  ConfigCoordinator& mCoordinator;
  const Clock& mClock;
  const Duration mMaxHeadAge;
  uint64_t mPendingHeadVersion = 0; ///< head's store version at mPendingSince
  TimePoint mPendingSince{};        ///< when that version was first seen
};

} // namespace hibiscushold
