#pragma once

#include "cluster/rpcserver.h"
#include "core/token.h"
#include "observe/metrics.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <string>

namespace hibiscushold {

/// Path of the operators' JSON-RPC endpoint on the peer port.
inline constexpr const char* kOperatorPath = "/operator";

/// Dependencies of the peer port's handlers.
struct PeerPortParts
{
  RpcServer& mPeerMethods;
  RpcServer& mOperatorMethods;
  Metrics& mMetrics;
  const TokenBook& mPeerTokens;
  const TokenBook& mOperatorTokens;
};

/// Creates the request handlers of the peer port, which serves peers, operators
/// and metrics.
class PeerPortFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit PeerPortFactory(PeerPortParts aParts);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  PeerPortParts mParts;
};

} // namespace hibiscushold
