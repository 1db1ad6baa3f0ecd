#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscushold {

/// @return a new random identifier (UUID, version 4)
std::string
NewId();

/// @return the SHA-256 of aText in lower-case hexadecimal
std::string
Sha256Hex(std::string_view aText);

/// Compares secrets such as keys and tokens without a data-dependent branch.
/// @return whether both texts are equal
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Rendezvous (highest random weight) score of a node for a key.
/// @return the score; the node with the highest score is preferred
uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode);

} // namespace hibiscushold
