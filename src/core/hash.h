#pragma once

#include <cstdint>
#include <string_view>

namespace hibiscushold {

/// Initial value of a chain of calls to Hash64.
inline constexpr uint64_t kHashStart = 0xcbf29ce484222325;

/// FNV-1a with a final mix. The same on all nodes, whatever their build; not
/// for secrets.
/// @param aStart kHashStart, or the hash of what precedes aText
/// @return the hash of the text and its length
uint64_t
Hash64(std::string_view aText, uint64_t aStart = kHashStart);

} // namespace hibiscushold
