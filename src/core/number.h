#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace hibiscushold {

/// Parses a number that takes up the whole text, without a sign '+' or spaces.
/// @param aNumber set to the number, or to an unspecified value on failure
/// @return whether all of aText is one number that T can hold
template<class T>
bool
ParseNumber(std::string_view aText, T& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [pos, ec] = std::from_chars(aText.data(), end, aNumber);
  return ec == std::errc() && pos == end;
}

} // namespace hibiscushold
