#pragma once

#include "core/httpfield.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hibiscushold::emulator {

/// Name of the field in which callers send values that look encoded.
inline constexpr const char* kNoteField = "Note";

/// @return a sound value of kNoteField. Decoded, some of them would hold a
///         request with an id of no caller.
std::string
OddNote(uint64_t aRequestId);

/// @return a request with a head that breaks the grammar, in one of many ways
std::string
MalformedRequest(uint64_t aRequestId);

/// @return a digest of what a target must get as the caller has sent it
uint64_t
DigestOf(std::string_view aMethod,
         std::string_view aUri,
         std::span<const std::string> aNotes);

} // namespace hibiscushold::emulator
