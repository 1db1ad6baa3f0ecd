#pragma once

#include "cluster/rpcserver.h"
#include "core/tokenset.h"
#include "observe/metrics.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

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

/// Creates the request handlers of the peer port, which serves peers, operators
/// and metrics.
class PeerHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit PeerHandlerFactory(PeerPortDependencies aDependencies);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  PeerPortDependencies mDependencies;
};

} // namespace hibiscushold
