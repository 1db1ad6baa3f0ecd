#pragma once

#include "cluster/rpcserver.h"
#include "core/http.h"
#include "relay/roster.h"

#include <functional>

namespace hibiscushold {

/// Adds the RPC method through which other nodes ask for this node's reach, and
/// whether it runs.
/// @param aReachesTargets whether this node reaches its targets
void
AddReachMethod(RpcServer& aServer,
               std::string aNodeId,
               std::function<bool()> aReachesTargets);

/// @param aClient makes the calls; must outlive the result, as must aClock
PeerReachReader
MakePeerReachReader(HttpClient& aClient, const Clock& aClock);

/// @param aClient makes the calls; must outlive the result, as must aClock
NodeCaller
MakeNodeCaller(HttpClient& aClient, const Clock& aClock);

} // namespace hibiscushold
