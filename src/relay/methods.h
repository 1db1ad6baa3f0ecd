#pragma once

#include "cluster/rpcserver.h"
#include "relay/relayedplatform.h"

namespace hibiscushold {

/// Adds the method by which other nodes follow this node's feeds.
/// @param aStopping while true, followers are sent elsewhere
void
AddFeedMethods(RpcServer& aInto,
               FeedBook& aBook,
               const Clock& aClock,
               const std::atomic<bool>& aStopping);

/// @return a way to ask other nodes for their feeds
/// @param aClient makes the calls; must outlive the result, as must aClock
AskPeer
MakeAskPeer(HttpClient& aClient, const Clock& aClock);

} // namespace hibiscushold
