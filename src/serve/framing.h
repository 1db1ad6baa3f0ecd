#pragma once

#include "core/serversession.h"
#include "core/settings.h"
#include "serve/refusal.h"

#include <string>

namespace hibiscushold {

/// Checks the head of a caller's request. Refuses any Transfer-Encoding, and a
/// path that is not in normal form. Also refuses too many header fields and a
/// path or a body that is too long.
ResultOrRefusal<void>
CheckFraming(const RequestHead& aHead, const Settings& aSettings);

/// Reads the whole body, which may arrive in any number of packets.
/// @param aDeadline time by which the last byte must have arrived
/// @return the body, or a refusal if it is truncated or arrives too slowly
ResultOrRefusal<std::string>
ReadBody(ServerRequest& aRequest, TimePoint aDeadline);

} // namespace hibiscushold
