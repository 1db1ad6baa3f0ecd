#pragma once

#include <functional>
#include <string_view>

namespace hibiscushold {

/// Receives the reason why a task ended with an exception.
using FailureHandler = std::function<void(std::string_view aReason)>;

/// Runs a task on a thread of its own, which an exception would otherwise end
/// together with the process.
/// @return whether the task ended without an exception
bool
RunGuarded(const std::function<void()>& aTask,
           const FailureHandler& aOnFailure);

} // namespace hibiscushold
