#pragma once

#include "core/responsehead.h"

#include <string_view>

namespace hibiscushold {

/// What an exchange knows about the response that it waits for.
struct AwaitedResponse
{
  std::string_view mIdField;   ///< name of the header with the request id
  std::string_view mRequestId; ///< id of the request
  bool mStream = false;        ///< an event stream is expected
  bool mMayEnd = false; ///< an orderly end of the connection would complete it
  int mStatus = 0;      ///< 0 until the head was received
  bool mIsBodyless = false; ///< responses to the request have no body
};

/// Tells from bytes that arrived but were not read yet whether the target has
/// made progress that can serve the caller: a complete event, or the whole head
/// (or more of it than was looked at) of a response that is neither of another
/// request nor a failure after which the request may be sent again.
/// @param aPartialHead the part of a head that was read already
/// @param aUnread the unread bytes, or the first of them
/// @param aHasMore whether there may be more unread bytes
bool
IsProgress(ResponseHeadParser aPartialHead,
           std::string_view aUnread,
           bool aHasMore,
           const AwaitedResponse& aAwaited);

} // namespace hibiscushold
