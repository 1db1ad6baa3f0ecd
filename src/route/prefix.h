#pragma once

#include <json/value.h>

#include <string>

namespace hibiscushold {

/// @param aBody body of a completion request
/// @return the start of the prompt, used to send requests with the same start
///         to the engine that has it cached; empty if the body has no prompt
std::string
PromptPrefix(const Json::Value& aBody);

} // namespace hibiscushold
