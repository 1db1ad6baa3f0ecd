#pragma once

#include "core/errors.h"

#include <string_view>
#include <vector>

namespace hibiscushold {

/// A member of a JSON object.
struct JsonMember
{
  std::string_view mName;  ///< as written, without the quotes
  std::string_view mValue; ///< as written
};

/// Splits a JSON object into its members. The values are told apart by their
/// quotes and brackets only and are not checked, so one that no parser accepts
/// does not cost the others. Takes no stack, however deep the nesting.
/// @param aText must outlive the result, which refers to it
/// @return the members in their order, or ReplyInvalid
Result<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText);

/// Splits a JSON array likewise.
/// @return the elements in their order, or ReplyInvalid
Result<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

/// @return the value of the first member with the name, empty if there is none
std::string_view
FindMember(const std::vector<JsonMember>& aMembers, std::string_view aName);

} // namespace hibiscushold
