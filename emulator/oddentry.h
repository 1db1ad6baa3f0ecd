#pragma once

#include <json/value.h>

#include <span>
#include <string_view>

namespace hibiscushold::emulator {

/// Name of an entry that another writer leaves in the list of VMs.
inline constexpr std::string_view kOddEntryName = "odd";

/// @return the numeric fields that an entry can have out of range
std::span<const std::string_view>
OddFields();

/// @return values out of range, as JSON
std::span<const std::string_view>
OddValues();

/// @return an entry like that of a VM in a group, but for one field
Json::Value
MakeOddEntry(std::string_view aField, const Json::Value& aValue);

} // namespace hibiscushold::emulator
