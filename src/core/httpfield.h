#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hibiscushold {

/// A header field of a request or a response.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

/// @return whether the field has that name in any case
bool
HasName(const HttpField& aField, std::string_view aName);

/// @return the value of the first field of that name in any case, or nothing
std::optional<std::string>
FindField(std::span<const HttpField> aFields, std::string_view aName);

/// @return the number of fields of that name in any case
size_t
CountFields(std::span<const HttpField> aFields, std::string_view aName);

/// @return whether several fields of that name have different values, so that
///         none of them can be used
bool
HasConflict(std::span<const HttpField> aFields, std::string_view aName);

} // namespace hibiscushold
