#include "standin/server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace hibiscushold::standin {

namespace {

constexpr int kMaxThreads = 600;
constexpr std::string_view kFaultPath = "/fault/";

class FunctionHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit FunctionHandler(const Server::Handler& aHandler)
    : mHandler(aHandler)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    mHandler(aRequest, aResponse);
  }

private:
  const Server::Handler& mHandler;
};

class FunctionFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionFactory(Server::Handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const HTTPServerRequest&) override
  {
    return new FunctionHandler(mHandler);
  }

private:
  const Server::Handler mHandler;
};

Poco::Net::ServerSocket
Bind(const Poco::Net::ServerSocket& aSocket, uint16_t aPort)
{
  const bool reuseAddress = true;
  const bool reusePort = false;
  Poco::Net::ServerSocket socket(aSocket);
  socket.bind(
    Poco::Net::SocketAddress("127.0.0.1", aPort), reuseAddress, reusePort);
  socket.listen(512);
  return socket;
}

Poco::Net::HTTPServerParams::Ptr
ServerParams()
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(512);
  return params;
}

} // namespace

void
FaultSwitches::Set(const std::string& aName, const std::string& aValue)
{
  const std::lock_guard guard(mLock);
  if (aValue.empty()) {
    mValues.erase(aName);
  } else {
    mValues[aName] = aValue;
  }
}

bool
FaultSwitches::Has(const std::string& aName) const
{
  const std::lock_guard guard(mLock);
  return mValues.contains(aName);
}

std::string
FaultSwitches::Value(const std::string& aName) const
{
  const std::lock_guard guard(mLock);
  const auto it = mValues.find(aName);
  return it == mValues.end() ? std::string() : it->second;
}

int64_t
FaultSwitches::Number(const std::string& aName) const
{
  const std::string value = Value(aName);
  return value.empty() ? 0 : std::strtoll(value.c_str(), nullptr, 10);
}

bool
FaultSwitches::ConsumeOne(const std::string& aName)
{
  const std::lock_guard guard(mLock);
  const auto it = mValues.find(aName);
  if (it == mValues.end()) {
    return false;
  }
  const long left = std::strtol(it->second.c_str(), nullptr, 10) - 1;
  if (left <= 0) {
    mValues.erase(it);
  } else {
    it->second = std::to_string(left);
  }
  return true;
}

bool
FaultSwitches::Handle(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse)
{
  const std::string path = PathOf(aRequest);
  if (!path.starts_with(kFaultPath)) {
    return false;
  }
  Set(path.substr(kFaultPath.size()), ReadBody(aRequest));
  SendReply(aResponse, 200, "{}");
  return true;
}

Server::Server(uint16_t aPort, Handler aHandler)
  : Server(Poco::Net::ServerSocket(), aPort, std::move(aHandler))
{
}

Server::Server(std::shared_ptr<TlsContext> aTls, Handler aHandler)
  : Server(TlsServerSocket(std::move(aTls)), 0, std::move(aHandler))
{
}

Server::Server(const Poco::Net::ServerSocket& aSocket,
               uint16_t aPort,
               Handler aHandler)
  : mThreads(2, 2 * kMaxThreads) // as PoolCapacity
  , mSocket(Bind(aSocket, aPort))
  , mServer(new FunctionFactory(std::move(aHandler)),
            mThreads,
            mSocket,
            ServerParams())
{
  mServer.start();
}

Server::~Server()
{
  mServer.stopAll(true);
  mThreads.joinAll();
}

Endpoint
Server::Address() const
{
  return { "127.0.0.1", mSocket.address().port() };
}

std::string
ReadBody(HTTPServerRequest& aRequest)
{
  std::string body;
  if (aRequest.hasContentLength() || aRequest.getChunkedTransferEncoding()) {
    Poco::StreamCopier::copyToString(aRequest.stream(), body);
  }
  return body;
}

void
SendReply(HTTPServerResponse& aResponse,
          int aStatus,
          const std::string& aBody,
          const std::string& aType)
{
  aResponse.setStatusAndReason(
    static_cast<HTTPServerResponse::HTTPStatus>(aStatus));
  aResponse.setContentType(aType);
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

void
CutConnection(HTTPServerRequest& aRequest)
{
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest);
  request.socket().shutdown();
  request.socket().close();
}

std::string
QueryValue(const HTTPServerRequest& aRequest, const std::string& aName)
{
  for (const auto& [name, value] :
       Poco::URI(aRequest.getURI()).getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

std::string
PathOf(const HTTPServerRequest& aRequest)
{
  return Poco::URI(aRequest.getURI()).getPath();
}

} // namespace hibiscushold::standin
