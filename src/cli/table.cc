#include "cli/table.h"

#include <algorithm>
#include <ostream>
#include <sys/ioctl.h>
#include <unistd.h>
#include <vector>

namespace hibiscushold {

namespace {

/// @return the text of a cell; an array becomes a list separated by commas
std::string
CellText(const Json::Value& aValue)
{
  if (aValue.isBool()) {
    return aValue.asBool() ? "yes" : "no";
  }
  if (!aValue.isArray()) {
    return aValue.asString();
  }
  std::string text;
  for (const Json::Value& it : aValue) {
    text += (text.empty() ? "" : ",") + it.asString();
  }
  return text;
}

void
PrintRow(std::ostream& aOut,
         std::span<const std::string> aCells,
         std::span<const size_t> aColumnWidths,
         size_t aMaxWidth)
{
  std::string line;
  for (size_t i = 0; i < aCells.size(); ++i) {
    line +=
      aCells[i] + std::string(aColumnWidths[i] - aCells[i].size() + 2, ' ');
  }
  line.resize(line.find_last_not_of(' ') + 1);
  if (line.size() > aMaxWidth) {
    line.resize(aMaxWidth - 1);
    line += '>';
  }
  aOut << line << "\n";
}

} // namespace

void
PrintTable(std::ostream& aOut,
           const Json::Value& aRows,
           std::span<const std::string> aColumns,
           size_t aMaxWidth)
{
  std::vector<std::vector<std::string>> lines;
  lines.emplace_back(aColumns.begin(), aColumns.end());
  for (const Json::Value& row : aRows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const std::string& it : aColumns) {
      line.push_back(CellText(row[it]));
    }
  }
  std::vector<size_t> columnWidths(aColumns.size(), 0);
  for (const std::vector<std::string>& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      columnWidths[i] = std::max(columnWidths[i], line[i].size());
    }
  }
  for (const std::vector<std::string>& it : lines) {
    PrintRow(aOut, it, columnWidths, aMaxWidth);
  }
}

size_t
TerminalWidth()
{
  winsize size{};
  const bool known = ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) == 0;
  return known && size.ws_col > 1 ? size.ws_col : std::string::npos;
}

} // namespace hibiscushold
