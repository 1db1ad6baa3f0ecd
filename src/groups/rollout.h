#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscushold {

/// The state of a copy of a rule.
enum class CopyState
{
  Serving,
  Forming,
  Ending, ///< draining or retiring
};

/// One copy of a group rule, as input of a rollout.
struct Copy
{
  std::string mGroup;
  CopyState mState = CopyState::Forming;
  bool mOutdated = false;   ///< its model or size differs from the rule's
  bool mLeaving = false;    ///< one of its VMs is leaving
  TimePoint mDrainDeadline; ///< latest time to drain a leaving copy
};

/// Changes to the copies of a rule.
struct RolloutStep
{
  uint32_t mForm = 0;              ///< number of copies to form if VMs are free
  std::vector<std::string> mDrain; ///< groups to drain in any case
  /// Groups to drain if no copy could be formed.
  std::vector<std::string> mDrainIfNoRoom;
};

/// Decides one step of a rolling replacement of outdated and leaving copies. If
/// VMs are free, a successor is formed first; else outdated copies are drained
/// one at a time. A successor that fails to load stops the rollout of outdated
/// copies, since they are not drained before it serves.
/// @param aWanted number of copies of the rule that the domain should hold
RolloutStep
DecideRollout(const std::vector<Copy>& aCopies,
              uint32_t aWanted,
              TimePoint aNow);

} // namespace hibiscushold
