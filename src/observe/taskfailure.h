#pragma once

#include "core/guard.h"

#include <string>

namespace hibiscushold {

/// @param aTask name of the task in the log
/// @return a handler that logs why the task ended
FailureHandler
LogFailuresOf(std::string aTask);

} // namespace hibiscushold
