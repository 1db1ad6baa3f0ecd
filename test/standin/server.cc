#include "standin/server.h"

#include "core/serversession.h"

#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <array>
#include <sstream>

namespace hibiscushold::standin {

namespace {

constexpr int kMaxThreads = 600;
constexpr std::string_view kFaultPath = "/fault/";

/// A request in the form of POCO's interface, read by the product's reader.
class ReceivedRequest final : public HTTPServerRequest
{
public:
  ReceivedRequest(ServerRequest& aRequest, HTTPServerResponse& aResponse)
    : mRequest(aRequest)
    , mResponse(aResponse)
    , mClient(aRequest.Session().clientAddress())
    , mServer(aRequest.Session().serverAddress())
  {
    const RequestHead& head = aRequest.Head();
    setMethod(head.mMethod);
    setURI(head.mUri);
    setVersion(head.mIsHttp10 ? HTTP_1_0 : HTTP_1_1);
    for (const HttpField& it : head.mFields) {
      add(it.mName, it.mValue);
    }
  }

  std::istream& stream() override
  {
    std::array<char, 16384> buf;
    BodyReader& body = mRequest.Body();
    std::string text;
    for (size_t n = body.Read(buf); n > 0; n = body.Read(buf)) {
      text.append(buf.data(), n);
    }
    mBody.str(text);
    return mBody;
  }

  const Poco::Net::SocketAddress& clientAddress() const override
  {
    return mClient;
  }

  const Poco::Net::SocketAddress& serverAddress() const override
  {
    return mServer;
  }

  const Poco::Net::HTTPServerParams& serverParams() const override
  {
    return *mParams;
  }

  HTTPServerResponse& response() const override { return mResponse; }
  bool secure() const override { return Socket().secure(); }
  Poco::Net::StreamSocket& Socket() const
  {
    return mRequest.Session().socket();
  }

private:
  ServerRequest& mRequest;
  HTTPServerResponse& mResponse;
  const Poco::Net::SocketAddress mClient;
  const Poco::Net::SocketAddress mServer;
  const Poco::Net::HTTPServerParams::Ptr mParams{
    new Poco::Net::HTTPServerParams
  };
  std::istringstream mBody;
};

/// Calls the function of a stand-in.
void
HandleRequest(const Server::Handler& aHandler,
              ServerRequest& aRequest,
              ResponseWriter& aWriter)
{
  Poco::Net::HTTPServerResponseImpl response(aRequest.Session());
  response.setVersion(HTTPServerResponse::HTTP_1_1);
  response.setKeepAlive(aWriter.KeepsConnection());
  ReceivedRequest request(aRequest, response);
  try {
    aHandler(request, response);
    aWriter.SetKeepsConnection(response.getKeepAlive());
  } catch (...) {
    aWriter.Abort();
    throw;
  }
}

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
  , mServer(
      [handler = std::move(aHandler)](ServerRequest& aRequest,
                                      ResponseWriter& aWriter) {
        HandleRequest(handler, aRequest, aWriter);
      },
      mThreads,
      mSocket,
      ServerParams())
{
  mServer.Start();
}

Server::~Server()
{
  const bool cutsRequests = true;
  mServer.Close(cutsRequests);
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
  std::istream& in = aRequest.stream();
  return { std::istreambuf_iterator<char>(in), {} };
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
  aResponse.setContentLength64(static_cast<int64_t>(aBody.size()));
  aResponse.send() << aBody << std::flush;
}

Poco::Net::StreamSocket&
SocketOf(HTTPServerRequest& aRequest)
{
  return dynamic_cast<ReceivedRequest&>(aRequest).Socket();
}

void
CutConnection(HTTPServerRequest& aRequest)
{
  aRequest.response().setKeepAlive(false);
  SocketOf(aRequest).shutdown();
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
