#pragma once

#include "core/clock.h"
#include "core/serversession.h"
#include "serve/refusal.h"
#include "serve/responsewriter.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <optional>

namespace hibiscushold {

/// Limits for the requests of a port.
struct RequestLimits
{
  size_t mMaxHeadBytes = 65536;
  milliseconds mHeadTimeout{ 30000 }; ///< from the first byte of the head
  milliseconds mIdleTimeout{ 30000 }; ///< between requests
};

/// Receives the head of the next request, whose first byte must have arrived.
/// @return the head, nothing if the peer has closed the connection, or the
///         refusal of a head that is malformed, cut off or too large
/// @throw Poco::Exception when the connection fails or the time is over
ResultOrRefusal<std::optional<RequestHead>>
ReceiveRequestHead(ServerSession& aSession,
                   const RequestLimits& aLimits,
                   const Clock& aClock);

/// Logs the refusal of a head, and sends it. The connection can't be used
/// afterwards, as it is unknown where the request ends.
void
RefuseHead(ServerSession& aSession,
           const Refusal& aRefusal,
           const Clock& aClock);

/// Handles one request. The connection is kept only if the handler has read the
/// whole body.
using RequestHandler = std::function<void(ServerRequest&, ResponseWriter&)>;

/// Serves the requests of one port. Each connection occupies a thread.
class HttpServer
{
public:
  HttpServer(RequestHandler aHandler,
             Poco::ThreadPool& aThreads,
             const Poco::Net::ServerSocket& aSocket,
             const Poco::Net::HTTPServerParams::Ptr& aParams);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Start() { mServer.start(); }

  /// Accepts no further connection, and closes those without a request. The
  /// others end after their request.
  /// @param aCutsRequests closes the others at once as well
  void Close(bool aCutsRequests);

  int CountConnections() const { return mServer.currentConnections(); }

  /// @return the number of connections that wait for a thread
  int CountWaiting() const { return mServer.queuedConnections(); }

private:
  class OpenConnections;
  class Connection;
  class ConnectionFactory;

  const std::shared_ptr<OpenConnections> mOpenConnections;
  Poco::Net::TCPServer mServer;
};

} // namespace hibiscushold
