#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "serve/refusal.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace hibiscushold {

/// Checks the header section of a caller's request. Refuses what two HTTP
/// parsers could interpret differently: several Content-Length headers, any
/// Transfer-Encoding, a Content-Length that is not a decimal number, or a path
/// that is not in normal form. Also refuses too many header fields and a path
/// or a body that is too long.
ResultOrRefusal<void>
CheckFraming(const Poco::Net::HTTPServerRequest& aRequest,
             const Settings& aSettings);

/// Reads the whole body, which may arrive in any number of packets.
/// @param aDeadline time by which the last byte must have arrived
/// @return the body, or a refusal if it is truncated or arrives too slowly
ResultOrRefusal<std::string>
ReadBody(Poco::Net::HTTPServerRequest& aRequest,
         const Clock& aClock,
         TimePoint aDeadline);

} // namespace hibiscushold
