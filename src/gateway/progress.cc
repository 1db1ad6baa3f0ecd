#include "gateway/progress.h"

#include <optional>
#include <string>

namespace hibiscushold {

namespace {

/// @return whether a response with this status is an answer for the caller
bool
IsFinal(int aStatus)
{
  return aStatus < 500 && aStatus != 408 && aStatus != 421 && aStatus != 429;
}

/// @return whether the head has the id of another request
bool
HasOtherId(const ResponseHead& aHead, const AwaitedResponse& aAwaited)
{
  const std::optional<std::string> id = FindField(aHead, aAwaited.mIdField);
  return HasConflict(aHead.mFields, aAwaited.mIdField) ||
         (id && *id != aAwaited.mRequestId);
}

bool
HasEventEnd(std::string_view aBytes)
{
  return aBytes.find("\n\n") != std::string_view::npos ||
         aBytes.find("\n\r\n") != std::string_view::npos;
}

} // namespace

bool
IsProgress(ResponseHeadParser aPartialHead,
           std::string_view aUnread,
           bool aHasMore,
           const AwaitedResponse& aAwaited)
{
  if (aAwaited.mStatus != 0) {
    return IsFinal(aAwaited.mStatus) &&
           (!aAwaited.mStream || aHasMore || HasEventEnd(aUnread));
  }
  while (!aUnread.empty()) {
    const Result<bool> isComplete = aPartialHead.Add(aUnread.front());
    aUnread.remove_prefix(1);
    if (!isComplete) {
      return false;
    }
    if (!isComplete.value()) {
      continue;
    }
    const ResponseHead& head = aPartialHead.Head();
    if (IsInterim(head)) {
      aPartialHead = ResponseHeadParser(aAwaited.mIsBodyless);
      continue;
    }
    return IsFinal(head.mStatus) && !HasOtherId(head, aAwaited) &&
           (!aAwaited.mStream || head.mStatus >= 300 || aHasMore ||
            HasEventEnd(aUnread));
  }
  // A head that is longer than the bytes that were looked at.
  const int status = aPartialHead.Head().mStatus;
  return aHasMore && status >= 200 && IsFinal(status);
}

} // namespace hibiscushold
