#pragma once

#include "gateway/callerrequest.h"
#include "gateway/gateway.h"

namespace hibiscushold {

/// @return latest time at which the node may receive the first event of a
///         stream that is on time at its caller
TimePoint
OnTimeUntil(const GatewayRequest& aRequest);

/// Decides whether a stream gets room at the target that was chosen for it
/// (admission/room.h).
/// @return a refusal if it doesn't, and has not run
ResultOrRefusal<void>
CheckRoom(const GatewayDependencies& aDependencies,
          const GatewayRequest& aRequest,
          const FleetTarget& aTarget);

} // namespace hibiscushold
