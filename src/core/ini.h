#pragma once

#include "core/errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// One "name = value  # comment" line and its section.
struct IniLine
{
  int mLine = 0;
  std::string mSection;
  std::string mName;
  std::string mValue;
  std::string mComment;
};

/// An error and the line that it was found on.
struct LineError
{
  int mLine = 0;
  Failure mFailure;
};

/// All settings and all syntax errors of a file.
struct IniFile
{
  std::vector<IniLine> mLines;
  std::vector<LineError> mErrors;
};

/// Parses INI text. A '#' or ';' at the start of a line or after white space
/// begins a comment. Parsing continues after a syntax error.
/// @param aText contents of the whole file
IniFile
ParseIni(std::string_view aText);

/// @return contents of the file, or FileUnreadable or FileTooLarge
Result<std::string>
ReadTextFile(const std::string& aPath, size_t aMaxBytes);

/// @return aText without white space at both ends
std::string_view
Trim(std::string_view aText);

/// @return the element of aNames with the smallest edit distance to aWord, or
///         an empty string when aNames is empty
std::string
NearestName(std::string_view aWord, const std::vector<std::string>& aNames);

} // namespace hibiscushold
