#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Receives the reason why a task ended with an exception.
using FailureHandler = std::function<void(std::string_view aReason)>;

/// Call only while an exception is handled.
/// @return the exception's text, or a short one if there is no memory for it
std::string
DescribeException() noexcept;

/// Runs a task on a thread of its own, which an exception would otherwise end
/// together with the process. That holds for exceptions of the handler too,
/// which may be refused the memory that the task was refused.
/// @return whether the task ended without an exception
bool
RunGuarded(const std::function<void()>& aTask,
           const FailureHandler& aOnFailure) noexcept;

} // namespace hibiscushold
