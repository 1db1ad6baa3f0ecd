#include "serve/peerport.h"

#include "cluster/peerclient.h"
#include "core/compress.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int64_t kMaxMessageBytes = 8000000;
/// Estimated size of the headers of a call, which are not counted exactly.
constexpr size_t kHeaderBytesEstimate = 200;
/// Shorter replies fit into a packet or two anyway.
constexpr size_t kMinDeflatedBytes = 2048;

void
Send(HTTPServerResponse& aResponse,
     HTTPServerResponse::HTTPStatus aStatus,
     const std::string& aType,
     const std::string& aBody)
{
  aResponse.setStatusAndReason(aStatus);
  aResponse.setContentType(aType);
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

class RpcHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  /// @param aMetrics counts the bytes served; null to count none
  RpcHandler(RpcServer& aMethods, const TokenSet& aTokens, Metrics* aMetrics)
    : mMethods(aMethods)
    , mTokens(aTokens)
    , mMetrics(aMetrics)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    if (!mTokens.Accepts(aRequest.get("Authorization", ""))) {
      aResponse.setKeepAlive(false);
      Send(aResponse,
           HTTPServerResponse::HTTP_UNAUTHORIZED,
           "text/plain",
           "the token is missing or wrong\n");
      return;
    }
    const int64_t length = aRequest.getContentLength64();
    std::string message;
    if (length >= 0 && length <= kMaxMessageBytes) {
      Poco::StreamCopier::copyToString(aRequest.stream(), message);
    }
    if (length < 0 || message.size() != static_cast<size_t>(length)) {
      aResponse.setKeepAlive(false);
      Send(aResponse,
           HTTPServerResponse::HTTP_BAD_REQUEST,
           "text/plain",
           "the message has no length, is too long or was cut off\n");
      return;
    }
    std::string reply = mMethods.HandleMessage(message);
    if (reply.size() >= kMinDeflatedBytes &&
        aRequest.get("Accept-Encoding", "") == kDeflateEncoding) {
      aResponse.set("Content-Encoding", kDeflateEncoding);
      aResponse.set(kOriginalLengthField, std::to_string(reply.size()));
      reply = Deflate(reply);
    }
    if (mMetrics != nullptr) {
      mMetrics->CountServedBytes(message.size() + reply.size() +
                                 kHeaderBytesEstimate);
    }
    Send(aResponse, HTTPServerResponse::HTTP_OK, "application/json", reply);
  }

private:
  RpcServer& mMethods;
  const TokenSet& mTokens;
  Metrics* mMetrics;
};

class MetricsHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit MetricsHandler(const Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void handleRequest(HTTPServerRequest&, HTTPServerResponse& aResponse) override
  {
    Send(aResponse,
         HTTPServerResponse::HTTP_OK,
         "text/plain; version=0.0.4",
         mMetrics.Render());
  }

private:
  const Metrics& mMetrics;
};

class NotFoundHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  void handleRequest(HTTPServerRequest&, HTTPServerResponse& aResponse) override
  {
    aResponse.setKeepAlive(false);
    Send(
      aResponse, HTTPServerResponse::HTTP_NOT_FOUND, "text/plain", "no page\n");
  }
};

} // namespace

PeerHandlerFactory::PeerHandlerFactory(PeerPortDependencies aDependencies)
  : mDependencies(aDependencies)
{
}

Poco::Net::HTTPRequestHandler*
PeerHandlerFactory::createRequestHandler(const HTTPServerRequest& aRequest)
{
  const std::string& path = aRequest.getURI();
  if (path == kRpcPath) {
    return new RpcHandler(mDependencies.mPeerMethods,
                          mDependencies.mPeerTokens,
                          &mDependencies.mMetrics);
  }
  if (path == kOperatorPath) {
    return new RpcHandler(
      mDependencies.mOperatorMethods, mDependencies.mOperatorTokens, nullptr);
  }
  if (path == "/metrics") {
    return new MetricsHandler(mDependencies.mMetrics);
  }
  return new NotFoundHandler();
}

} // namespace hibiscushold
