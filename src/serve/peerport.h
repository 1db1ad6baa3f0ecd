#pragma once

#include "cluster/rpcserver.h"
#include "core/tokenset.h"
#include "observe/metrics.h"
#include "serve/httpserver.h"

#include <string>

namespace hibiscushold {

/// Path of the operators' JSON-RPC endpoint on the peer port.
inline constexpr const char* kOperatorPath = "/operator";

/// Dependencies of the peer port's handlers.
struct PeerPortDependencies
{
  RpcServer& mPeerMethods;
  RpcServer& mOperatorMethods;
  Metrics& mMetrics;
  const TokenSet& mPeerTokens;
  const TokenSet& mOperatorTokens;
};

/// @param aDependencies must outlive the handler
/// @return the handler of the peer port, which serves peers, operators and
///         metrics
RequestHandler
MakePeerHandler(PeerPortDependencies aDependencies);

} // namespace hibiscushold
