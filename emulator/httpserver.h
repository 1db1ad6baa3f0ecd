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

/// @return different ports that are free at the time of the call
std::vector<uint16_t>
FindFreePorts(size_t aCount);

std::string
ReadBody(HTTPServerRequest& aRequest);

void
Reply(HTTPServerResponse& aResponse, int aStatus, const std::string& aBody);

/// Closes the connection at once, without a response.
void
Cut(HTTPServerRequest& aRequest);

} // namespace hibiscushold::emulator
