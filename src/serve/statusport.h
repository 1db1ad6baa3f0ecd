#pragma once

#include "observe/metrics.h"
#include "serve/httpserver.h"

#include <functional>
#include <string>

namespace hibiscushold {

/// @param aReadyPath path of the load balancer's readiness check; the metrics
///        are at /metrics
/// @param aIsReady called for each readiness check
/// @param aMetrics must outlive the handler
/// @return the handler of a port for readiness checks and metrics
RequestHandler
MakeStatusHandler(std::string aReadyPath,
                  std::function<bool()> aIsReady,
                  const Metrics& aMetrics);

} // namespace hibiscushold
