#pragma once

#include "cluster/rpcserver.h"
#include "core/http.h"
#include "relay/roster.h"

#include <functional>

namespace hibiscushold {

/// Adds the RPC method through which other nodes ask for this node's reach.
/// @param aReachesTargets whether this node reaches its targets
void
AddReachMethod(RpcServer& aServer, std::function<bool()> aReachesTargets);

/// @param aClient makes the calls; must outlive the result, as must aClock
PeerReachReader
MakePeerReachReader(HttpClient& aClient, const Clock& aClock);

} // namespace hibiscushold
