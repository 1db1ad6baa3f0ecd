#pragma once

#include "gateway/callerrequest.h"
#include "gateway/gateway.h"

namespace hibiscushold {

/// Brings a request to targets until one answers it whole, and the answer to
/// the caller.
/// @return nothing when the caller has its answer or is gone, else the refusal
///         that is still owed; a stream that has started is then cut off
Answerable<void>
RunRequest(const GatewayParts& aParts,
           const GatewayRequest& aRequest,
           CallerPort& aPort);

} // namespace hibiscushold
