#include "gateway/eventsplitter.h"

#include <charconv>

namespace hibiscushold {

namespace {

constexpr std::string_view kIdField = "id:";

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

} // namespace

std::string
EventSplitter::TakeCompleteEvents()
{
  const size_t length = CompleteLength(mBuffer);
  std::string events = mBuffer.substr(0, length);
  mBuffer.erase(0, length);
  CheckIds(events);
  return events;
}

void
EventSplitter::CheckIds(std::string_view aEvents)
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
