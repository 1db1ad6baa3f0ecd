#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Initial value of a chain of calls to Hash64.
inline constexpr uint64_t kHashStart = 0xcbf29ce484222325;

/// MurmurHash3's final mix, after which values that differ in few bits differ
/// in about half of them.
uint64_t
MixBits(uint64_t aValue);

/// FNV-1a with a final mix. The same on all nodes, whatever their build; not
/// for secrets.
/// @param aStart kHashStart, or the hash of what precedes aText
/// @return the hash of the text and its length
uint64_t
Hash64(std::string_view aText, uint64_t aStart = kHashStart);

/// @return the value in lower-case hexadecimal digits, without leading zeros
std::string
ToHex(uint64_t aValue);

} // namespace hibiscushold
