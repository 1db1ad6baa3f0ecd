#pragma once

#include "core/errors.h"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold::bench {

/// The JSON lines of one run.
struct RunLog
{
  std::string mName;
  std::vector<Json::Value> mRows;
};

/// @param aText JSON lines
/// @return the rows, or ReplyInvalid with the number of the invalid line
Result<RunLog>
ParseRunLog(std::string aName, std::string_view aText);

/// @param aRuns one run, or a run and an earlier one for comparison
/// @return a self-contained HTML page
std::string
RenderReport(const std::vector<RunLog>& aRuns);

/// Reads run logs and prints the report page.
/// @return the exit code of the process: 0, or 2 if a file is unreadable
int
PrintReport(const std::vector<std::string>& aPaths);

} // namespace hibiscushold::bench
