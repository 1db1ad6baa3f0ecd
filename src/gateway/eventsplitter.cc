#include "gateway/eventsplitter.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace hibiscushold {

namespace {

constexpr std::string_view kIdField = "id:";
/// Length of the longest end of an event.
constexpr size_t kMaxEndBytes = 3;
constexpr char kCommentMark = ':';

/// @return the length of all complete events at the start of the text
size_t
CompleteLength(std::string_view aText)
{
  const size_t lf = aText.rfind("\n\n");
  const size_t crlf = aText.rfind("\n\r\n");
  const size_t afterLf = lf == std::string_view::npos ? 0 : lf + 2;
  const size_t afterCrlf = crlf == std::string_view::npos ? 0 : crlf + 3;
  return std::max(afterLf, afterCrlf);
}

/// @return the id that the line of an event has, if any
std::optional<uint64_t>
IdOf(std::string_view aLine)
{
  if (!aLine.starts_with(kIdField)) {
    return std::nullopt;
  }
  aLine.remove_prefix(kIdField.size());
  aLine.remove_prefix(std::min(aLine.find_first_not_of(' '), aLine.size()));
  uint64_t id = 0;
  const auto [pos, ec] =
    std::from_chars(aLine.data(), aLine.data() + aLine.size(), id);
  return ec == std::errc() ? std::optional(id) : std::nullopt;
}

} // namespace

std::string
EventSplitter::TakeCompleteEvents()
{
  // The end of an event may have begun in the bytes that were searched before.
  const size_t from = std::max(mSearchedBytes, kMaxEndBytes) - kMaxEndBytes;
  const size_t found = CompleteLength(std::string_view(mBuffer).substr(from));
  const size_t length = found == 0 ? 0 : from + found;
  std::string events = mBuffer.substr(0, length);
  mBuffer.erase(0, length);
  mSearchedBytes = mBuffer.size();
  CheckIds(events);
  return events;
}

void
EventSplitter::CheckIds(std::string_view aEvents)
{
  bool hasId = false;
  bool hasContent = false;
  for (size_t at = 0; at < aEvents.size();) {
    const size_t end = std::min(aEvents.find('\n', at), aEvents.size());
    const std::string_view line = aEvents.substr(at, end - at);
    at = end + 1;
    if (line.empty() || line == "\r") {
      // In a stream with ids, an event without one can't be part of it.
      mOutOfOrder = mOutOfOrder || (hasContent && !hasId && mLastId != 0);
      hasId = hasContent = false;
      continue;
    }
    hasContent = hasContent || line.front() != kCommentMark;
    const std::optional<uint64_t> id = IdOf(line);
    if (id) {
      mOutOfOrder = mOutOfOrder || (mLastId != 0 && *id != mLastId + 1);
      mLastId = *id;
      hasId = true;
    }
  }
}

} // namespace hibiscushold
