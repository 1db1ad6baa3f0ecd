#pragma once

#include "gateway/callerrequest.h"
#include "gateway/gateway.h"

namespace hibiscushold {

/// Forwards a request to one target after another until one sends a complete
/// response or no retry is allowed, and relays the response to the caller.
/// @return success if the response was relayed or the caller has disconnected,
///         else the refusal to send; if a stream has already started, the
///         connection must be reset instead
ResultOrRefusal<void>
ForwardRequest(const GatewayDependencies& aDependencies,
               const GatewayRequest& aRequest,
               ResponseWriter& aWriter);

} // namespace hibiscushold
