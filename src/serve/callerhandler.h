#pragma once

#include "cluster/heartbeatmonitor.h"
#include "cluster/member.h"
#include "config/agent.h"
#include "core/settings.h"
#include "observe/metrics.h"
#include "serve/dispatcher.h"
#include "serve/httpserver.h"

#include <atomic>

namespace hibiscushold {

/// Dependencies of the caller port's handlers.
struct CallerHandlerDependencies
{
  const Settings& mSettings;
  const ConfigAgent& mConfig;
  const HeartbeatMonitor& mHeartbeats;
  const Member& mSelf;
  Dispatcher& mDispatcher;
  Metrics& mMetrics;
  const Clock& mClock;
  const std::atomic<bool>& mStopping;
  std::atomic<uint32_t>& mActiveRequests; ///< requests in progress
};

/// @return the handler of the caller port
RequestHandler
MakeCallerHandler(CallerHandlerDependencies aDependencies);

} // namespace hibiscushold
