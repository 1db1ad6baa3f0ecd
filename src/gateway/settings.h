#pragma once

#include "core/settings.h"
#include "fleet/planner.h"
#include "fleet/repeats.h"

namespace hibiscushold {

/// What a node on a platform of its own learns from its settings file.
struct GatewaySettings
{
  std::string mNodeId;
  std::string mZone;
  Endpoint mCallerListen;
  Endpoint mReadyListen;
  Endpoint mPeerListen;   ///< where other nodes ask this one
  double mCapacity = 1.0; ///< its part of a core; the largest nodes relay
  Endpoint mStore;
  std::string mLogLevel = "info";
  uint32_t mMaxConnections = 512;
  bool mFirstStart = false; ///< the whole system starts for the first time
  milliseconds mKeyFreshness{ 5000 };
  milliseconds mGrace{ 8000 }; ///< between a stop signal and the end
  PlannerBounds mPlanner;
  RepeatBounds mRepeats;
};

/// Reads and checks the settings file of a node on a platform.
/// @return the settings, or the first fault with file and line
Result<GatewaySettings>
LoadGatewaySettings(const std::string& aPath);

/// Checks settings text; aPath is used in faults only.
Result<GatewaySettings>
ParseGatewaySettings(const std::string& aPath, std::string_view aText);

} // namespace hibiscushold
