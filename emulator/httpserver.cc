#include "emulator/httpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include <unistd.h>

#include <sstream>

namespace hibiscushold::emulator {

namespace {

constexpr int kMaxThreads = 200;
constexpr int kBacklog = 128;

class FunctionHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit FunctionHandler(const HttpServer::Handler& aHandler)
    : mHandler(aHandler)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    mHandler(aRequest, aResponse);
  }

private:
  const HttpServer::Handler& mHandler;
};

class FunctionFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionFactory(HttpServer::Handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const HTTPServerRequest&) override
  {
    return new FunctionHandler(mHandler);
  }

private:
  const HttpServer::Handler mHandler;
};

Poco::Net::StreamSocket&
SocketOf(HTTPServerRequest& aRequest)
{
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket();
}

Poco::Net::HTTPServerParams::Ptr
ServerParams()
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  return params;
}

} // namespace

HttpServer::HttpServer(Handler aHandler)
  : mThreads(2, kMaxThreads)
  , mSocket(Poco::Net::SocketAddress("127.0.0.1", 0), kBacklog)
  , mServer(new FunctionFactory(std::move(aHandler)),
            mThreads,
            mSocket,
            ServerParams())
{
  mServer.start();
}

HttpServer::~HttpServer()
{
  mServer.stopAll(true);
  mThreads.joinAll();
}

std::string
HttpServer::Address() const
{
  return mSocket.address().toString();
}

std::string
OwnLoopbackAddress()
{
  // Distinct for all processes that run, as their ids have 22 bits at most; the
  // addresses up to 127.63.255.255 are left to others.
  const auto id = static_cast<uint32_t>(getpid());
  std::string address = "127";
  for (const uint32_t it : { 64 + (id >> 16 & 63), id >> 8 & 255, id & 255 }) {
    address += "." + std::to_string(it);
  }
  return address;
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
Reply(HTTPServerResponse& aResponse, int aStatus, const std::string& aBody)
{
  aResponse.setStatusAndReason(
    static_cast<HTTPServerResponse::HTTPStatus>(aStatus));
  aResponse.setContentType("application/json");
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

void
SendCopy(HTTPServerRequest& aRequest,
         const HTTPServerResponse& aResponse,
         const std::string& aBody)
{
  std::ostringstream out;
  aResponse.write(out);
  out << aBody;
  const std::string bytes = out.str();
  Poco::Net::StreamSocket& socket = SocketOf(aRequest);
  try {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  } catch (const Poco::Exception&) {
    // The peer has closed the connection.
    Cut(aRequest);
  }
}

void
Cut(HTTPServerRequest& aRequest)
{
  Poco::Net::StreamSocket& socket = SocketOf(aRequest);
  try {
    socket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer has closed the connection.
  }
  socket.close();
}

} // namespace hibiscushold::emulator
