#include "gateway/events.h"

#include <charconv>

namespace hibiscushold {

namespace {

constexpr std::string_view kIdField = "id:";

/// @return the length of all whole events at the start of the text
size_t
WholeLength(std::string_view aText)
{
  const size_t plain = aText.rfind("\n\n");
  const size_t wide = aText.rfind("\n\r\n");
  const size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
  const size_t wideEnd = wide == std::string_view::npos ? 0 : wide + 3;
  return std::max(plainEnd, wideEnd);
}

} // namespace

std::string
EventSplitter::Take()
{
  const size_t length = WholeLength(mBuffer);
  std::string events = mBuffer.substr(0, length);
  mBuffer.erase(0, length);
  NoteIds(events);
  return events;
}

void
EventSplitter::NoteIds(std::string_view aEvents)
{
  for (size_t at = 0; at < aEvents.size();) {
    const size_t end = std::min(aEvents.find('\n', at), aEvents.size());
    std::string_view line = aEvents.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    uint64_t id = 0;
    const auto [pos, ec] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec != std::errc()) {
      continue;
    }
    mOutOfOrder = mOutOfOrder || (mLastId != 0 && id != mLastId + 1);
    mLastId = id;
  }
}

} // namespace hibiscushold
