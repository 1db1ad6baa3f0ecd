#pragma once

#include "core/sessionpool.h"
#include "fleet/reach.h"
#include "fleet/targetchoice.h"
#include "observe/metrics.h"

#include <functional>

namespace hibiscushold {

/// Finds out when a node that was cut off from its targets reaches them again,
/// as it may get no requests meanwhile.
class ReachProber
{
public:
  struct Dependencies
  {
    TargetReach& mReach;
    const SessionPool& mSessions;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  ReachProber(std::function<FleetTargetsPtr()> aTargets,
              Dependencies aDependencies);

  /// Logs a change of the reach. Connects to some targets unless the reach is
  /// full.
  void ProbeOnce();

private:
  void LogChange(Reach aReach);

  const std::function<FleetTargetsPtr()> mTargets;
  const Dependencies mDependencies;
  Reach mLoggedReach = Reach::Full;
};

} // namespace hibiscushold
