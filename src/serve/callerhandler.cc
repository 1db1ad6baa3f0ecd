#include "serve/callerhandler.h"

#include "core/guardedsocket.h"
#include "core/ids.h"
#include "observe/events.h"
#include "serve/requestreader.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr const char* kRequestIdField = "X-Request-Id";
constexpr const char* kCallerRanField = "X-Hibiscushold-Ran";

void
SendText(HTTPServerResponse& aResponse,
         int aStatus,
         const std::string& aType,
         std::string_view aBody)
{
  aResponse.setStatus(std::to_string(aStatus));
  aResponse.setReason(HTTPServerResponse::getReasonForStatus(
    static_cast<HTTPServerResponse::HTTPStatus>(aStatus)));
  aResponse.setContentType(aType);
  aResponse.setContentLength64(static_cast<int64_t>(aBody.size()));
  std::ostream& out = aResponse.send();
  out.write(aBody.data(), static_cast<std::streamsize>(aBody.size()));
  out.flush();
}

/// Writes events to the caller; sends the response header with the first event.
class CallerStream final : public EventSink
{
public:
  CallerStream(HTTPServerRequest& aRequest,
               HTTPServerResponse& aResponse,
               const CallerHandlerDependencies& aDependencies,
               TimePoint aArrivedAt)
    : mRequest(aRequest)
    , mResponse(aResponse)
    , mDependencies(aDependencies)
    , mArrivedAt(aArrivedAt)
  {
  }

  bool OnEvent(std::string_view aEvent) override
  {
    if (mOut == nullptr) {
      mResponse.setContentType("text/event-stream");
      mResponse.setChunkedTransferEncoding(true);
      mOut = &mResponse.send();
      mDependencies.mMetrics.ObserveLatency(
        "first", mDependencies.mClock.Now() - mArrivedAt);
    }
    mOut->write(aEvent.data(), static_cast<std::streamsize>(aEvent.size()));
    mOut->flush();
    return mOut->good();
  }

  bool IsCallerDisconnected() override
  {
    auto* request = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&mRequest);
    return request != nullptr && IsPeerGone(request->socket());
  }

  bool HasStarted() const { return mOut != nullptr; }

private:
  HTTPServerRequest& mRequest;
  HTTPServerResponse& mResponse;
  const CallerHandlerDependencies& mDependencies;
  const TimePoint mArrivedAt;
  std::ostream* mOut = nullptr;
};

FreshnessState
CurrentFreshness(const CallerHandlerDependencies& aDependencies,
                 const ConfigAgent::ConfigState& aConfigState)
{
  const Duration maxAge = aDependencies.mSettings.mMaxConfigAge;
  return { aConfigState.mHeadSnapshot,
           aConfigState.mActive->mVersion,
           aDependencies.mHeartbeats.CountReachable(
             aDependencies.mSelf.mIncarnation, maxAge),
           aDependencies.mSettings.mMinMembers,
           maxAge };
}

/// Handles one request of a caller.
class CallerHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit CallerHandler(const CallerHandlerDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
    ++mDependencies.mActiveRequests;
  }

  ~CallerHandler() override { --mDependencies.mActiveRequests; }

  CallerHandler(const CallerHandler&) = delete;
  CallerHandler& operator=(const CallerHandler&) = delete;

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    const TimePoint arrivedAt = mDependencies.mClock.Now();
    const std::string id = NewId();
    aResponse.set(kRequestIdField, id);
    aResponse.setKeepAlive(aRequest.getKeepAlive() && !mDependencies.mStopping);
    CallerStream stream(aRequest, aResponse, mDependencies, arrivedAt);
    ResultOrRefusal<CallerRequest> request = Admit(aRequest, id);
    if (!request) {
      // The unread rest of a body must not be parsed as the next request.
      aResponse.setKeepAlive(false);
      Refuse(aResponse, stream, id, request.error());
      return;
    }
    ResultOrRefusal<Dispatcher::Response> response =
      mDependencies.mDispatcher.Run(request.value(), stream);
    if (!response) {
      Refuse(aResponse, stream, id, response.error());
      return;
    }
    const BufferedResponse& buffered = response.value().mBuffered;
    mDependencies.mMetrics.CountAnswer(buffered.mStatus);
    mDependencies.mMetrics.ObserveLatency(
      "last", mDependencies.mClock.Now() - arrivedAt);
    LogEvent(EventId::RequestAnswered,
             { { "request", id },
               { "account", request.value().mAccount },
               { "version", std::to_string(request.value().mConfig->mVersion) },
               { "status", std::to_string(buffered.mStatus) } });
    if (!response.value().mStreamed) {
      SendText(
        aResponse, buffered.mStatus, buffered.mContentType, buffered.mBody);
    }
  }

private:
  /// Reads a request, and refuses it if the rules may be out of date.
  ResultOrRefusal<CallerRequest> Admit(HTTPServerRequest& aRequest,
                                       const std::string& aId)
  {
    const ActiveConfigPtr config = mDependencies.mConfig.Active();
    BOOST_OUTCOME_TRY(
      request,
      ReadRequest(
        aRequest, aId, config, mDependencies.mSettings, mDependencies.mClock));
    const ConfigAgent::ConfigState configState = mDependencies.mConfig.State();
    BOOST_OUTCOME_TRY(
      CheckFreshness(request,
                     configState,
                     CurrentFreshness(mDependencies, configState),
                     mDependencies.mClock.Now()));
    return request;
  }

  void Refuse(HTTPServerResponse& aResponse,
              CallerStream& aStream,
              const std::string& aId,
              const Refusal& aRefusal)
  {
    mDependencies.mMetrics.CountRefusal(NameOf(aRefusal.mKind));
    LogEvent(EventId::RequestRefused,
             { { "request", aId },
               { "reason", NameOf(aRefusal.mKind) },
               { "ran", NameOf(aRefusal.mRan) },
               { "detail", aRefusal.mMessage } });
    if (aStream.HasStarted()) {
      // The status has been sent. An error event without the terminating event
      // shows the caller that the stream is incomplete.
      aStream.OnEvent("event: error\ndata: " + RenderRefusal(aRefusal) +
                      "\n\n");
      aResponse.setKeepAlive(false);
      return;
    }
    aResponse.set(kCallerRanField, NameOf(aRefusal.mRan));
    if (aRefusal.mRetryAfterMillis > 0) {
      const uint32_t wait = (aRefusal.mRetryAfterMillis + 999) / 1000;
      aResponse.set("Retry-After", std::to_string(wait));
    }
    SendText(aResponse,
             StatusOf(aRefusal.mKind),
             "application/json",
             RenderRefusal(aRefusal));
  }

  const CallerHandlerDependencies& mDependencies;
};

/// Answers the load balancer's health and readiness checks.
class HealthHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  explicit HealthHandler(bool aHealthy)
    : mHealthy(aHealthy)
  {
  }

  void handleRequest(HTTPServerRequest&, HTTPServerResponse& aResponse) override
  {
    aResponse.setKeepAlive(false);
    SendText(aResponse,
             mHealthy ? 200 : 503,
             "text/plain",
             mHealthy ? "ok\n" : "not ready\n");
  }

private:
  const bool mHealthy;
};

} // namespace

CallerHandlerFactory::CallerHandlerFactory(
  CallerHandlerDependencies aDependencies)
  : mDependencies(aDependencies)
{
}

Poco::Net::HTTPRequestHandler*
CallerHandlerFactory::createRequestHandler(const HTTPServerRequest& aRequest)
{
  const std::string& path = aRequest.getURI();
  if (path == "/healthz") {
    return new HealthHandler(true);
  }
  if (path == "/readyz") {
    const ConfigAdmission admission = DecideConfigAdmission(
      CurrentFreshness(mDependencies, mDependencies.mConfig.State()),
      mDependencies.mClock.Now());
    const bool ready = !mDependencies.mStopping &&
                       admission != ConfigAdmission::None &&
                       mDependencies.mConfig.Active()->mVersion > 0;
    return new HealthHandler(ready);
  }
  return new CallerHandler(mDependencies);
}

} // namespace hibiscushold
