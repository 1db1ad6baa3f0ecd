#pragma once

#include "core/settings.h"
#include "fleet/coldtargets.h"
#include "fleet/retrybudget.h"
#include "placement/planner.h"

namespace hibiscushold {

/// Settings of a gateway node, as read from its settings file.
struct GatewaySettings
{
  std::string mNodeId;
  std::string mZone;
  Endpoint mCallerListen;
  Endpoint mReadyListen;
  Endpoint mPeerListen; ///< for calls and datagrams from other nodes
  /// Share of a CPU core; other nodes read through the largest ones.
  double mCapacity = 1.0;
  Endpoint mStore;
  std::string mLogLevel = "info";
  uint32_t mMaxConnections = 512;
  bool mFirstStart = false; ///< true when the whole system is first started
  milliseconds mMaxConfigAge{ 5000 };
  milliseconds mShutdownGrace{ 8000 }; ///< from the stop signal to the exit
  /// How long a VM serves after its entry has gone from the list, in which it
  /// may get requests; 0: none.
  milliseconds mLeaveBound{ 0 };
  PlannerLimits mPlanner;
  RetryLimits mRetryLimits;
  bool mFollowsZones = false; ///< operators may take zones out of service
  ColdTolerance mColdTolerance;
};

/// Reads and validates the settings file of a gateway node.
/// @return the settings, or the first error with file and line
Result<GatewaySettings>
LoadGatewaySettings(const std::string& aPath);

/// Parses and validates settings text.
/// @param aPath path for error messages only
Result<GatewaySettings>
ParseGatewaySettings(const std::string& aPath, std::string_view aText);

} // namespace hibiscushold
