#pragma once

#include "core/errors.h"

#include <optional>

namespace hibiscushold {

/// The JSON-RPC code of an Error is this minus the value of the Error.
inline constexpr int kFirstRpcCode = -31000;

/// @return the JSON-RPC error code of aError
int
ToRpcCode(Error aError);

/// @return the error with the JSON-RPC code aCode; nothing for codes of the
///         library
std::optional<Error>
ErrorFromRpcCode(int aCode);

} // namespace hibiscushold
