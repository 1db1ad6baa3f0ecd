#pragma once

#include "cluster/rpcserver.h"
#include "relay/relayedplatform.h"

namespace hibiscushold {

/// Adds the RPC method through which other nodes follow this node's feeds.
/// @param aStopping while true, requests are refused so that followers use
///                  another node
void
AddFeedMethods(RpcServer& aServer,
               FeedCache& aFeeds,
               const Clock& aClock,
               const std::atomic<bool>& aStopping);

/// @return a function that reads feeds from other nodes
/// @param aClient makes the calls; must outlive the result, as must aClock
PeerReader
MakePeerReader(HttpClient& aClient, const Clock& aClock);

} // namespace hibiscushold
