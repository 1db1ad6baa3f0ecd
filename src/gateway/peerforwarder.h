#pragma once

#include "gateway/callerrequest.h"
#include "gateway/gateway.h"

#include <optional>

namespace hibiscushold {

/// Passes a request on to another node, which serves it like one of its own
/// callers, and relays the response. A request that may have reached a target
/// is not sent again, and one that came from another node is not passed on.
/// @return as ForwardRequest; nothing if no other node has taken the request,
///         which has not run then
std::optional<ResultOrRefusal<void>>
PassOnRequest(const GatewayDependencies& aDependencies,
              const GatewayRequest& aRequest,
              ResponseWriter& aWriter);

/// Checks what another node says of a request that it passes on.
/// @param aVersion of the configuration in force at this node
/// @return whether it comes from another node; PeerRefused if that one can't be
///         believed, ConfigNotFresh if it knows a newer configuration
ResultOrRefusal<bool>
CheckPeer(const RequestHead& aRequest, const Peers& aPeers, uint64_t aVersion);

} // namespace hibiscushold
