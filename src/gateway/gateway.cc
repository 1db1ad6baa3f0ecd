#include "gateway/gateway.h"

#include "core/random.h"
#include "gateway/callerrequest.h"
#include "gateway/requestforwarder.h"
#include "observe/events.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// A revoked key must stop working before the freshness limit, including for
/// requests that are still on their way to a target.
constexpr auto kFreshnessMargin = milliseconds(700);
/// A new node receives its first configuration within a few hundred
/// milliseconds.
constexpr uint32_t kUnreadyRetryMillis = 300;
/// Short, because another node can serve the request at once.
constexpr uint32_t kElsewhereRetryMillis = 20;

/// @return the time in seconds with three decimals, such as "0.300"
std::string
SecondsText(uint32_t aMillis)
{
  const std::string millisText =
    std::to_string(1000 + aMillis % 1000).substr(1);
  return std::to_string(aMillis / 1000) + "." + millisText;
}

bool
IsConfigFresh(const GatewayDependencies& aDependencies)
{
  const TimePoint until = aDependencies.mWatcher.ConfigAsOf() +
                          aDependencies.mMaxConfigAge - kFreshnessMargin;
  return aDependencies.mClock.Now() < until;
}

Reach
AssessReachOf(const GatewayDependencies& aDependencies)
{
  return aDependencies.mReach.Assess(aDependencies.mClock.Now());
}

/// Handles one request of a caller.
class CallerHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit CallerHandler(const GatewayDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    ResponseWriter writer(aRequest, aResponse);
    try {
      Handle(aRequest, aResponse, writer);
    } catch (const Poco::Exception& e) {
      EndFailed(aRequest, aResponse, writer, e.displayText());
    } catch (const std::exception& e) {
      EndFailed(aRequest, aResponse, writer, e.what());
    }
  }

private:
  void Handle(HTTPServerRequest& aRequest,
              HTTPServerResponse& aResponse,
              ResponseWriter& aWriter)
  {
    // Callers are to come back at another node.
    aResponse.setKeepAlive(aResponse.getKeepAlive() &&
                           !mDependencies.mStopping &&
                           AssessReachOf(mDependencies) == Reach::Full);
    ResultOrRefusal<GatewayRequest> request = Admit(aRequest);
    if (request) {
      const ResultOrRefusal<void> body =
        ReadBody(aRequest, mDependencies.mClock, request.value());
      if (!body) {
        request = body.error();
      }
    }
    if (!request) {
      // Unread bytes of the body must not be parsed as the next request.
      aResponse.setKeepAlive(false);
      SendRefusal(aRequest, aWriter, request.error());
      aWriter.DiscardRest(mDependencies.mClock);
      return;
    }
    const ResultOrRefusal<void> forwarded =
      ForwardRequest(mDependencies, request.value(), aWriter);
    if (!forwarded) {
      SendRefusal(aRequest, aWriter, forwarded.error());
    }
  }

  /// Ends a request whose handling failed; it may have run by then. A response
  /// that has started is cut.
  void EndFailed(const HTTPServerRequest& aRequest,
                 HTTPServerResponse& aResponse,
                 ResponseWriter& aWriter,
                 const std::string& aReason)
  {
    LogEvent(
      EventId::HandlerFailed,
      { { "request", aRequest.get(mDependencies.mProtocol.mRequestId, "") },
        { "reason", aReason } });
    if (aWriter.HasStarted()) {
      mDependencies.mMetrics.CountCut("handler_failed");
      aWriter.Abort();
      return;
    }
    aResponse.setKeepAlive(false);
    SendRefusal(aRequest,
                aWriter,
                { RefusalKind::TargetFailed,
                  "the node failed to handle the request",
                  Ran::Unknown });
  }

  ResultOrRefusal<GatewayRequest> Admit(const HTTPServerRequest& aRequest)
  {
    if (mDependencies.mRefusingRequests) {
      return Refusal{ RefusalKind::Stopping,
                      "the node is about to stop",
                      Ran::No,
                      kElsewhereRetryMillis };
    }
    const FleetConfigPtr config = mDependencies.mWatcher.Config();
    if (config == nullptr) {
      return Refusal{ RefusalKind::ConfigNotFresh,
                      "the node knows no configuration yet",
                      Ran::No,
                      kUnreadyRetryMillis };
    }
    BOOST_OUTCOME_TRY(request,
                      ReadHead(aRequest,
                               config,
                               mDependencies.mProtocol,
                               mDependencies.mClock.Now(),
                               NextFraction()));
    if (!request.mAccount.empty() && !IsConfigFresh(mDependencies)) {
      return Refusal{ RefusalKind::ConfigNotFresh,
                      "the node cannot tell whether the key is still valid",
                      Ran::No,
                      kUnreadyRetryMillis };
    }
    if (AssessReachOf(mDependencies) == Reach::None) {
      return Refusal{ RefusalKind::NoTarget,
                      "the node reaches no target",
                      Ran::No,
                      kElsewhereRetryMillis };
    }
    return request;
  }

  void SendRefusal(const HTTPServerRequest& aRequest,
                   ResponseWriter& aWriter,
                   const Refusal& aRefusal)
  {
    const std::string id = aRequest.get(mDependencies.mProtocol.mRequestId, "");
    mDependencies.mMetrics.CountRefusal(NameOf(aRefusal.mKind));
    const FleetConfigPtr config = mDependencies.mWatcher.Config();
    LogEvent(
      EventId::RequestRefused,
      { { "request", id },
        { "reason", NameOf(aRefusal.mKind) },
        { "ran", NameOf(aRefusal.mRan) },
        { "detail", aRefusal.mMessage },
        { "version",
          config == nullptr ? "0" : std::to_string(config->mVersion) } });
    if (aWriter.HasStarted()) {
      aWriter.Abort();
      return;
    }
    std::vector<HttpField> fields{ { "Content-Type", "application/json" } };
    if (!id.empty()) {
      fields.push_back({ mDependencies.mProtocol.mRequestId, id });
    }
    if (aRefusal.mRetryAfterMillis > 0) {
      fields.push_back(
        { "Retry-After", SecondsText(aRefusal.mRetryAfterMillis) });
    }
    aWriter.SendComplete(
      StatusOf(aRefusal.mKind), fields, RenderRefusal(aRefusal));
  }

  const GatewayDependencies& mDependencies;
};

} // namespace

GatewayHandlerFactory::GatewayHandlerFactory(GatewayDependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

Poco::Net::HTTPRequestHandler*
GatewayHandlerFactory::createRequestHandler(const HTTPServerRequest&)
{
  return new CallerHandler(mDependencies);
}

bool
IsReady(const GatewayDependencies& aDependencies)
{
  return !aDependencies.mStopping &&
         aDependencies.mWatcher.Config() != nullptr &&
         IsConfigFresh(aDependencies) &&
         AssessReachOf(aDependencies) == Reach::Full;
}

} // namespace hibiscushold
