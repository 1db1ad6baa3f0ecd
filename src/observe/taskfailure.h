#pragma once

#include "core/guard.h"
#include "observe/metrics.h"

#include <string>

namespace hibiscushold {

/// @param aTask name of the task in the log and the metrics
/// @param aMetrics outlives the handler
/// @return a handler that logs why the task ended, and counts it
FailureHandler
LogFailuresOf(std::string aTask, Metrics& aMetrics);

} // namespace hibiscushold
