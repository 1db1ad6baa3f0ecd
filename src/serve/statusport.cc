#include "serve/statusport.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Sends a fixed status and text.
class TextHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  TextHandler(HTTPServerResponse::HTTPStatus aStatus, std::string aText)
    : mStatus(aStatus)
    , mText(std::move(aText))
  {
  }

  void handleRequest(HTTPServerRequest&, HTTPServerResponse& aResponse) override
  {
    aResponse.setStatusAndReason(mStatus);
    aResponse.setContentType("text/plain");
    aResponse.sendBuffer(mText.data(), mText.size());
  }

private:
  const HTTPServerResponse::HTTPStatus mStatus;
  const std::string mText;
};

} // namespace

StatusHandlerFactory::StatusHandlerFactory(std::string aReadyPath,
                                           std::function<bool()> aIsReady,
                                           const Metrics& aMetrics)
  : mReadyPath(std::move(aReadyPath))
  , mIsReady(std::move(aIsReady))
  , mMetrics(aMetrics)
{
}

Poco::Net::HTTPRequestHandler*
StatusHandlerFactory::createRequestHandler(const HTTPServerRequest& aRequest)
{
  const std::string& path = aRequest.getURI();
  if (path == mReadyPath) {
    const bool ready = mIsReady();
    return new TextHandler(ready ? HTTPServerResponse::HTTP_OK
                                 : HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE,
                           ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics") {
    return new TextHandler(HTTPServerResponse::HTTP_OK, mMetrics.Render());
  }
  return new TextHandler(HTTPServerResponse::HTTP_NOT_FOUND, "no such page\n");
}

} // namespace hibiscushold
