#pragma once

#include "core/ini.h"
#include "rules/rules.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Largest accepted rules file in bytes. The file is stored as a single value,
/// so it must fit into one value of the store.
inline constexpr size_t kMaxRulesBytes = 1000000;
/// Largest number of rules in one file.
inline constexpr size_t kMaxRules = 20000;
/// Longest name of a rule in bytes.
inline constexpr size_t kMaxNameBytes = 63;

/// Result of parsing a rules file: the rules and all faults, in line order.
struct ParsedRules
{
  Rules mRules;
  std::vector<LineError> mFaults;
};

/// Parses and checks a rules file. All faults are reported at once.
/// @param aText the whole file
/// @return the rules, valid only when there are no faults
ParsedRules
ParseRules(std::string_view aText);

/// @param aFile name of the file to show
/// @return one line per fault: "FILE:LINE: kind: detail; remedy"
std::string
DescribeFaults(std::string_view aFile, std::span<const LineError> aFaults);

} // namespace hibiscushold
