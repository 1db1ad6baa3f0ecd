#pragma once

#include "gateway/gateway.h"

#include <Poco/Net/TCPServerConnectionFactory.h>

namespace hibiscushold {

/// The connections of callers that occupy a thread.
struct ConnectionCount
{
  uint32_t mMaxKept; ///< with more, no connection is kept after a response
  std::atomic<uint32_t> mOpen{ 0 };
};

/// Creates the server side of callers' connections. It takes the limits of idle
/// connections and of request heads from the configuration in force at the
/// time.
class CallerConnectionFactory final
  : public Poco::Net::TCPServerConnectionFactory
{
public:
  /// @param aMaxConnections connections that the server can serve at once
  CallerConnectionFactory(const GatewayDependencies& aDependencies,
                          uint32_t aMaxConnections);

  Poco::Net::TCPServerConnection* createConnection(
    const Poco::Net::StreamSocket& aSocket) override;

private:
  const GatewayDependencies mDependencies;
  ConnectionCount mConnections;
};

} // namespace hibiscushold
