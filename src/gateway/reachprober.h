#pragma once

#include "fleet/reach.h"
#include "fleet/targetchoice.h"
#include "gateway/peers.h"
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
    const Peers& mPeers;
    PeerReachReader mAskPeer;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  ReachProber(std::function<FleetTargetsPtr()> aTargets,
              Dependencies aDependencies);

  /// Connects to some targets if the reach is in doubt, asks other nodes if
  /// these don't accept, and logs changes of the reach.
  void ProbeOnce();

private:
  /// @return whether another node reaches its targets
  bool DoOthersReach() const;
  void LogChange(Reach aReach);

  const std::function<FleetTargetsPtr()> mTargets;
  const Dependencies mDependencies;
  Reach mLoggedReach = Reach::Full;
};

} // namespace hibiscushold
