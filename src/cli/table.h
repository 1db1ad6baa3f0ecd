#pragma once

#include <json/value.h>

#include <iosfwd>
#include <span>
#include <string>

namespace hibiscushold {

/// Prints a header line and one line per row, in aligned columns.
/// @param aRows array of objects
/// @param aColumns names of the object members to show, in order
/// @param aMaxWidth longest line in bytes; longer lines are cut and end in '>'
void
PrintTable(std::ostream& aOut,
           const Json::Value& aRows,
           std::span<const std::string> aColumns,
           size_t aMaxWidth);

/// @return the width in columns of the terminal on standard output, or
///         std::string::npos if it is unknown or there is no terminal
size_t
TerminalWidth();

} // namespace hibiscushold
