#include "core/ini.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>

namespace hibiscushold {

namespace {

constexpr std::string_view kWhitespace = " \t\r";

bool
IsCommentStart(std::string_view aLine, size_t aPos)
{
  const char c = aLine[aPos];
  if (c != '#' && c != ';') {
    return false;
  }
  return aPos == 0 ||
         kWhitespace.find(aLine[aPos - 1]) != std::string_view::npos;
}

struct SplitLine
{
  std::string_view mContent;
  std::string_view mComment;
};

SplitLine
SplitComment(std::string_view aLine)
{
  for (size_t i = 0; i < aLine.size(); ++i) {
    if (IsCommentStart(aLine, i)) {
      return { Trim(aLine.substr(0, i)), Trim(aLine.substr(i + 1)) };
    }
  }
  return { Trim(aLine), {} };
}

LineError
MakeSyntaxError(int aLine, std::string aDetail, std::string aRemedy)
{
  Failure failure{ Error::SyntaxInvalid,
                   std::move(aDetail),
                   std::move(aRemedy) };
  return { aLine, std::move(failure) };
}

void
ParseContent(IniFile& aFile,
             std::string& aSection,
             int aLine,
             const SplitLine& aSplit)
{
  const std::string_view content = aSplit.mContent;
  if (content.front() == '[') {
    if (content.back() != ']' || content.size() < 3) {
      aFile.mErrors.push_back(MakeSyntaxError(
        aLine, "section header is not closed", "write [section]"));
      return;
    }
    aSection = std::string(Trim(content.substr(1, content.size() - 2)));
    return;
  }
  const size_t eq = content.find('=');
  if (eq == std::string_view::npos || Trim(content.substr(0, eq)).empty()) {
    aFile.mErrors.push_back(MakeSyntaxError(
      aLine, "line is not 'name = value'", "add a name and '='"));
    return;
  }
  if (aSection.empty()) {
    aFile.mErrors.push_back(MakeSyntaxError(
      aLine, "line stands before any section", "add a [section]"));
    return;
  }
  aFile.mLines.push_back({ aLine,
                           aSection,
                           std::string(Trim(content.substr(0, eq))),
                           std::string(Trim(content.substr(eq + 1))),
                           std::string(aSplit.mComment) });
}

size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), size_t{ 0 });
  for (size_t i = 1; i <= aLeft.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= aRight.size(); ++j) {
      const size_t above = row[j];
      const size_t cost = aLeft[i - 1] == aRight[j - 1] ? 0 : 1;
      row[j] = std::min({ above + 1, row[j - 1] + 1, diagonal + cost });
      diagonal = above;
    }
  }
  return row.back();
}

} // namespace

std::string_view
Trim(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

IniFile
ParseIni(std::string_view aText)
{
  IniFile file;
  std::string section;
  int line = 0;
  size_t pos = 0;
  while (pos < aText.size()) {
    const size_t end = std::min(aText.find('\n', pos), aText.size());
    const SplitLine split = SplitComment(aText.substr(pos, end - pos));
    ++line;
    pos = end + 1;
    if (!split.mContent.empty()) {
      ParseContent(file, section, line, split);
    }
  }
  return file;
}

Result<std::string>
ReadTextFile(const std::string& aPath, size_t aMaxBytes)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return Failure{ Error::FileUnreadable, aPath, "check path and mode" };
  }
  // A string stream would end early, without an error, when it is refused
  // memory.
  std::string text(std::istreambuf_iterator<char>(in),
                   std::istreambuf_iterator<char>{});
  if (text.size() > aMaxBytes) {
    return Failure{ Error::FileTooLarge,
                    aPath + " holds " + std::to_string(text.size()) + " bytes",
                    "the limit is " + std::to_string(aMaxBytes) + " bytes" };
  }
  return text;
}

std::string
NearestName(std::string_view aWord, const std::vector<std::string>& aNames)
{
  const auto it =
    std::min_element(aNames.begin(), aNames.end(), [&](auto& aL, auto& aR) {
      return EditDistance(aWord, aL) < EditDistance(aWord, aR);
    });
  return it == aNames.end() ? std::string() : *it;
}

} // namespace hibiscushold
