#pragma once

#include "gateway/gateway.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

namespace hibiscushold {

/// Creates the server side of callers' connections. It takes the limits of idle
/// connections and of request heads from the configuration in force at the
/// time, which POCO's HTTP server fixes when a connection starts.
class CallerConnectionFactory final
  : public Poco::Net::TCPServerConnectionFactory
{
public:
  explicit CallerConnectionFactory(const GatewayDependencies& aDependencies);

  Poco::Net::TCPServerConnection* createConnection(
    const Poco::Net::StreamSocket& aSocket) override;

private:
  const GatewayDependencies mDependencies;
  const Poco::Net::HTTPServerParams::Ptr mParams;
  GatewayHandlerFactory mHandlers;
};

} // namespace hibiscushold
