#pragma once

#include "core/errors.h"

#include <string>
#include <string_view>

namespace hibiscushold {

/// Name of the encoding in HTTP headers.
inline constexpr const char* kDeflateEncoding = "deflate";
/// Header with the length of the original bytes.
inline constexpr const char* kOriginalLengthField = "Original-Length";

/// @return aBytes in the zlib format, compressed for speed rather than size
std::string
Deflate(std::string_view aBytes);

/// @param aLength of the original bytes
/// @return the original bytes; ReplyInvalid if aBytes are not in the zlib
///         format, or stand for another number of bytes
Result<std::string>
Inflate(std::string_view aBytes, size_t aLength);

} // namespace hibiscushold
