#include "gateway/progress.h"

#include <Poco/String.h>

#include <charconv>
#include <string>

namespace hibiscushold {

namespace {

constexpr std::string_view kProtocol = "HTTP/";
/// Position and length of the status code in a status line.
constexpr size_t kStatusPosition = 9;
constexpr size_t kStatusLength = 3;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// @return whether a response with this status is an answer for the caller
bool
IsFinal(int aStatus)
{
  return aStatus < 500 && aStatus != 408 && aStatus != 421 && aStatus != 429;
}

/// @return whether the head has the id of another request
bool
HasOtherId(std::string_view aHead, const AwaitedResponse& aAwaited)
{
  const std::string field =
    "\r\n" + Poco::toLower(std::string(aAwaited.mIdField)) + ":";
  const size_t at = Poco::toLower(std::string(aHead)).find(field);
  if (at == std::string::npos) {
    return false;
  }
  std::string_view value = aHead.substr(at + field.size());
  value = value.substr(0, value.find('\r'));
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value != aAwaited.mRequestId;
}

bool
HasEventEnd(std::string_view aBytes)
{
  return aBytes.find("\n\n") != std::string_view::npos ||
         aBytes.find("\n\r\n") != std::string_view::npos;
}

} // namespace

bool
IsProgress(std::string_view aUnread,
           bool aHasMore,
           const AwaitedResponse& aAwaited)
{
  if (aAwaited.mStatus != 0) {
    return IsFinal(aAwaited.mStatus) &&
           (!aAwaited.mStream || aHasMore || HasEventEnd(aUnread));
  }
  if (!aUnread.starts_with(kProtocol)) {
    return !aUnread.empty(); // the rest of a head that was read in part
  }
  if (aUnread.size() < kStatusPosition + kStatusLength) {
    return false;
  }
  int status = 0;
  const char* digits = aUnread.data() + kStatusPosition;
  std::from_chars(digits, digits + kStatusLength, status);
  const size_t end = aUnread.find(kHeadEnd);
  if (!IsFinal(status) || HasOtherId(aUnread.substr(0, end), aAwaited)) {
    return false;
  }
  const bool interim = status < 200;
  if (!aAwaited.mStream || interim || status >= 300 || aHasMore) {
    return true;
  }
  return end != std::string_view::npos &&
         HasEventEnd(aUnread.substr(end + kHeadEnd.size()));
}

} // namespace hibiscushold
