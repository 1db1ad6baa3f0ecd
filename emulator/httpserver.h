#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <string>

namespace hibiscushold::emulator {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// An HTTP server on loopback that passes all requests to one function.
class HttpServer
{
public:
  using Handler = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

  explicit HttpServer(Handler aHandler);
  ~HttpServer();

  /// @return "HOST:PORT"
  std::string Address() const;

private:
  Poco::ThreadPool mThreads;
  Poco::Net::ServerSocket mSocket;
  Poco::Net::HTTPServer mServer;
};

/// @return an address of the loopback network that no other process on the
///         machine uses, so that its ports are free whenever a node starts
std::string
OwnLoopbackAddress();

std::string
ReadBody(HTTPServerRequest& aRequest);

void
Reply(HTTPServerResponse& aResponse, int aStatus, const std::string& aBody);

/// Sends the response once more on the same connection.
/// @param aResponse the response that was sent
void
SendCopy(HTTPServerRequest& aRequest,
         const HTTPServerResponse& aResponse,
         const std::string& aBody);

/// Closes the connection at once, without a response.
void
Cut(HTTPServerRequest& aRequest);

} // namespace hibiscushold::emulator
