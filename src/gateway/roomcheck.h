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
/// @return whether the target is to serve others first, or a refusal, in which
///         case the request has not run
ResultOrRefusal<bool>
CheckRoom(const GatewayDependencies& aDependencies,
          const GatewayRequest& aRequest,
          const FleetTarget& aTarget);

/// @param aIsDelayed the engine is to serve others first
/// @return the priority for an engine, 0 (first) to 9
int
EnginePriority(const Urgency& aUrgency, bool aIsDelayed);

} // namespace hibiscushold
