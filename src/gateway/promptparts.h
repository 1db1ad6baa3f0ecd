#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Parts of a prompt beyond this number are left out.
inline constexpr size_t kMaxPromptParts = 256;

/// Parses the list of a prompt's parts, "ID:TOKENS" separated by commas.
/// @return the hashed ids in order, without the last part, which belongs to the
///         request or its session, and without entries that have no id
std::vector<uint64_t>
ParseSharedParts(std::string_view aField);

} // namespace hibiscushold
