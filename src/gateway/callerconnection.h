#pragma once

#include "gateway/gateway.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <span>

namespace hibiscushold {

/// The node's end of a caller's connection.
class CallerSession final : public Poco::Net::HTTPServerSession
{
public:
  using Poco::Net::HTTPServerSession::HTTPServerSession;

  /// @return whether the receive buffer of the session holds unread bytes
  bool HasUnreadBytes() const { return buffered() > 0; }

  /// Reads the bytes after the head of a request without decoding its framing.
  /// @return bytes read, 0 at the end of the connection
  /// @throw Poco::Exception when the connection fails or the socket's receive
  ///        timeout passes
  size_t ReadRaw(std::span<char> aBuffer);
};

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
