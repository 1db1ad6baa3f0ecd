#include "core/jsonscan.h"

#include <optional>
#include <string>

namespace hibiscushold {

namespace {

bool
IsSpace(char aChar)
{
  return aChar == ' ' || aChar == '\t' || aChar == '\n' || aChar == '\r';
}

Failure
NotJson(const char* aWhat)
{
  return { Error::ReplyInvalid, aWhat, "send valid JSON" };
}

/// Reads a text from its start to its end, one value at a time.
class JsonScanner
{
public:
  explicit JsonScanner(std::string_view aText)
    : mText(aText)
  {
  }

  void SkipSpace()
  {
    while (mPos < mText.size() && IsSpace(mText[mPos])) {
      ++mPos;
    }
  }

  /// Skips spaces and aChar, if it is next.
  /// @return whether it was
  bool Take(char aChar)
  {
    SkipSpace();
    if (mPos >= mText.size() || mText[mPos] != aChar) {
      return false;
    }
    ++mPos;
    return true;
  }

  bool IsAtEnd()
  {
    SkipSpace();
    return mPos == mText.size();
  }

  /// @return the text between the quotes, or nothing if no string is next
  std::optional<std::string_view> TakeString()
  {
    SkipSpace();
    const size_t start = mPos;
    if (!SkipString()) {
      return std::nullopt;
    }
    return mText.substr(start + 1, mPos - start - 2);
  }

  /// @return the next value, or nothing if it is empty or does not end
  std::optional<std::string_view> TakeValue()
  {
    SkipSpace();
    const size_t start = mPos;
    size_t depth = 0;
    while (mPos < mText.size()) {
      const char next = mText[mPos];
      if (next == '"') {
        if (!SkipString()) {
          return std::nullopt;
        }
        continue;
      }
      if (next == '{' || next == '[') {
        ++depth;
      } else if (depth > 0 && (next == '}' || next == ']')) {
        --depth;
      } else if (depth == 0 && (next == ',' || next == '}' || next == ']')) {
        break;
      }
      ++mPos;
    }
    size_t end = mPos;
    while (end > start && IsSpace(mText[end - 1])) {
      --end;
    }
    if (depth > 0 || end == start) {
      return std::nullopt;
    }
    return mText.substr(start, end - start);
  }

private:
  /// Skips a string with its quotes.
  /// @return false if no string is next, or it does not end
  bool SkipString()
  {
    if (mPos >= mText.size() || mText[mPos] != '"') {
      return false;
    }
    for (++mPos; mPos < mText.size(); ++mPos) {
      if (mText[mPos] == '\\') {
        ++mPos;
      } else if (mText[mPos] == '"') {
        ++mPos;
        return true;
      }
    }
    return false;
  }

  const std::string_view mText;
  size_t mPos = 0;
};

} // namespace

Result<std::vector<JsonMember>>
SplitJsonObject(std::string_view aText)
{
  JsonScanner scanner(aText);
  if (!scanner.Take('{')) {
    return NotJson("not a JSON object");
  }
  std::vector<JsonMember> members;
  bool more = !scanner.Take('}');
  const bool isEmpty = !more;
  while (more) {
    const std::optional<std::string_view> name = scanner.TakeString();
    if (!name || !scanner.Take(':')) {
      return NotJson("a member of a JSON object has no name");
    }
    const std::optional<std::string_view> value = scanner.TakeValue();
    if (!value) {
      return NotJson("a member of a JSON object has no value");
    }
    members.push_back({ *name, *value });
    more = scanner.Take(',');
  }
  if ((!isEmpty && !scanner.Take('}')) || !scanner.IsAtEnd()) {
    return NotJson("a JSON object has no end, or text after it");
  }
  return members;
}

Result<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  JsonScanner scanner(aText);
  if (!scanner.Take('[')) {
    return NotJson("not a JSON array");
  }
  std::vector<std::string_view> elements;
  bool more = !scanner.Take(']');
  const bool isEmpty = !more;
  while (more) {
    const std::optional<std::string_view> value = scanner.TakeValue();
    if (!value) {
      return NotJson("an element of a JSON array is empty or has no end");
    }
    elements.push_back(*value);
    more = scanner.Take(',');
  }
  if ((!isEmpty && !scanner.Take(']')) || !scanner.IsAtEnd()) {
    return NotJson("a JSON array has no end, or text after it");
  }
  return elements;
}

std::string_view
FindMember(const std::vector<JsonMember>& aMembers, std::string_view aName)
{
  for (const JsonMember& it : aMembers) {
    if (it.mName == aName) {
      return it.mValue;
    }
  }
  return {};
}

} // namespace hibiscushold
