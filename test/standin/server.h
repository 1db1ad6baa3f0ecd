#pragma once

#include "core/settings.h"
#include "core/tls.h"
#include "serve/httpserver.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace hibiscushold::standin {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Named faults and their values. Tests set them over HTTP: PUT /fault/NAME
/// with the value as body; an empty body clears the fault.
class FaultSwitches
{
public:
  void Set(const std::string& aName, const std::string& aValue);
  bool Has(const std::string& aName) const;
  std::string Value(const std::string& aName) const;
  int64_t Number(const std::string& aName) const;

  /// Decrements a numeric fault and clears it at zero.
  /// @return whether it was set
  bool ConsumeOne(const std::string& aName);

  /// Handles a request to /fault/ and responds.
  /// @return false if the request has another path
  bool Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);

private:
  mutable std::mutex mLock;
  std::map<std::string, std::string> mValues;
};

/// An HTTP server on loopback that passes all requests to one function. It
/// reads requests as nodes do, so that it takes nothing for a request that is
/// none.
class Server
{
public:
  using Handler = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

  /// @param aPort 0 lets the OS choose
  Server(uint16_t aPort, Handler aHandler);
  /// Serves TLS on a port that the OS chooses.
  Server(std::shared_ptr<TlsContext> aTls, Handler aHandler);
  ~Server();

  Endpoint Address() const;

private:
  Server(const Poco::Net::ServerSocket& aSocket,
         uint16_t aPort,
         Handler aHandler);

  Poco::ThreadPool mThreads;
  Poco::Net::ServerSocket mSocket;
  HttpServer mServer;
};

std::string
ReadBody(HTTPServerRequest& aRequest);

void
SendReply(HTTPServerResponse& aResponse,
          int aStatus,
          const std::string& aBody,
          const std::string& aType = "application/json");

/// Ends the connection at once, without the rest of the response. The caller
/// must return to the server afterwards.
void
CutConnection(HTTPServerRequest& aRequest);

Poco::Net::StreamSocket&
SocketOf(HTTPServerRequest& aRequest);

/// @return the value of a query parameter, or an empty string
std::string
QueryValue(const HTTPServerRequest& aRequest, const std::string& aName);

/// @return the path of the request without its query
std::string
PathOf(const HTTPServerRequest& aRequest);

} // namespace hibiscushold::standin
