#pragma once

#include "admission/demandrecord.h"
#include "fleet/quarantine.h"
#include "fleet/retrybudget.h"
#include "fleet/targetchoice.h"
#include "fleet/watcher.h"
#include "gateway/exchange.h"
#include "gateway/peers.h"
#include "gateway/protocolnames.h"
#include "gateway/stopwindow.h"
#include "gateway/usualtimes.h"
#include "observe/metrics.h"
#include "serve/refusal.h"
#include "serve/responsewriter.h"

#include <atomic>
#include <functional>

namespace hibiscushold {

/// Dependencies of the request handlers for callers.
struct GatewayDependencies
{
  const FleetWatcher& mWatcher;
  std::function<FleetTargetsPtr()> mTargets;
  SessionPool& mSessions;
  TargetLoads& mLoads;
  Quarantine& mQuarantine;
  ByteBudget& mBuffers; ///< for responses
  ByteBudget& mBodies;  ///< of callers' requests
  TargetReach& mReach;
  Peers& mPeers;
  ServiceRetryBudget& mRetryBudget;
  const ProtocolNames& mProtocol;
  Metrics& mMetrics;
  const Clock& mClock;
  std::string mZone;
  milliseconds mMaxConfigAge{ 5000 }; ///< how long keys stay accepted after the
                                      ///< configuration was last confirmed
  const std::atomic<bool>& mStopping;
  const StopWindow& mStopWindow;
  UsualTimes& mUsualTimes;
  DemandRecord& mDemandRecord;
  const std::atomic<bool>& mExiting; ///< no further request is read
  std::atomic<uint32_t>& mRunning;   ///< requests being read or handled
};

/// Handles one request of a caller. Clears KeepsConnection of the writer unless
/// the body was read to its end.
void
HandleCaller(const GatewayDependencies& aDependencies,
             ServerRequest& aRequest,
             ResponseWriter& aWriter);

/// @return whether the node is not stopping, its configuration is recent enough
///         to serve requests, and targets accept its connections
bool
IsReady(const GatewayDependencies& aDependencies);

} // namespace hibiscushold
