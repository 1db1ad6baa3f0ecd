#include "serve/callerhandler.h"

#include "core/ids.h"
#include "observe/events.h"
#include "serve/requestreader.h"

namespace hibiscushold {

namespace {

constexpr const char* kRequestIdField = "X-Request-Id";
constexpr const char* kCallerRanField = "X-Hibiscushold-Ran";

/// Writes events to the caller; sends the response header with the first event.
class CallerStream final : public EventSink
{
public:
  CallerStream(ResponseWriter& aWriter,
               const std::string& aId,
               const CallerHandlerDependencies& aDependencies,
               TimePoint aArrivedAt)
    : mWriter(aWriter)
    , mId(aId)
    , mDependencies(aDependencies)
    , mArrivedAt(aArrivedAt)
  {
  }

  bool OnEvent(std::string_view aEvent) override
  {
    if (!mWriter.HasStarted()) {
      mDependencies.mMetrics.ObserveLatency(
        "first", mDependencies.mClock.Now() - mArrivedAt);
      if (!mWriter.StartStream(200,
                               { { kRequestIdField, mId },
                                 { "Content-Type", "text/event-stream" } })) {
        return false;
      }
    }
    return mWriter.SendChunk(aEvent);
  }

  bool IsCallerDisconnected() override
  {
    return mWriter.IsCallerDisconnected();
  }

private:
  ResponseWriter& mWriter;
  const std::string& mId;
  const CallerHandlerDependencies& mDependencies;
  const TimePoint mArrivedAt;
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
class CallerHandler final
{
public:
  explicit CallerHandler(const CallerHandlerDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
    ++mDependencies.mActiveRequests;
  }

  ~CallerHandler() { --mDependencies.mActiveRequests; }

  CallerHandler(const CallerHandler&) = delete;
  CallerHandler& operator=(const CallerHandler&) = delete;

  void Run(ServerRequest& aRequest, ResponseWriter& aWriter)
  {
    const TimePoint arrivedAt = mDependencies.mClock.Now();
    const std::string id = NewId();
    aWriter.SetKeepsConnection(aWriter.KeepsConnection() &&
                               !mDependencies.mStopping);
    CallerStream stream(aWriter, id, mDependencies, arrivedAt);
    ResultOrRefusal<CallerRequest> request = Admit(aRequest, id);
    if (!request) {
      // The unread rest of a body must not be parsed as the next request.
      aWriter.SetKeepsConnection(false);
      Refuse(aWriter, id, request.error());
      return;
    }
    ResultOrRefusal<Dispatcher::Response> response =
      mDependencies.mDispatcher.Run(request.value(), stream);
    if (!response) {
      Refuse(aWriter, id, response.error());
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
    if (aWriter.HasStarted()) {
      aWriter.EndStream();
    } else {
      aWriter.SendComplete(
        buffered.mStatus,
        { { kRequestIdField, id }, { "Content-Type", buffered.mContentType } },
        buffered.mBody);
    }
  }

private:
  /// Reads a request, and refuses it if the rules may be out of date.
  ResultOrRefusal<CallerRequest> Admit(ServerRequest& aRequest,
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

  void Refuse(ResponseWriter& aWriter,
              const std::string& aId,
              const Refusal& aRefusal)
  {
    mDependencies.mMetrics.CountRefusal(NameOf(aRefusal.mKind));
    LogEvent(EventId::RequestRefused,
             { { "request", aId },
               { "reason", NameOf(aRefusal.mKind) },
               { "ran", NameOf(aRefusal.mRan) },
               { "detail", aRefusal.mMessage } });
    if (aWriter.HasStarted()) {
      // The status has been sent. An error event without the terminating event
      // shows the caller that the stream is incomplete.
      aWriter.SetKeepsConnection(false);
      aWriter.SendChunk("event: error\ndata: " + RenderRefusal(aRefusal) +
                        "\n\n");
      aWriter.EndStream();
      return;
    }
    std::vector<HttpField> fields{ { kRequestIdField, aId },
                                   { kCallerRanField, NameOf(aRefusal.mRan) },
                                   { "Content-Type", "application/json" } };
    if (aRefusal.mRetryAfterMillis > 0) {
      const uint32_t wait = (aRefusal.mRetryAfterMillis + 999) / 1000;
      fields.push_back({ "Retry-After", std::to_string(wait) });
    }
    aWriter.SendComplete(
      StatusOf(aRefusal.mKind), fields, RenderRefusal(aRefusal));
  }

  const CallerHandlerDependencies& mDependencies;
};

/// Answers the load balancer's health and readiness checks.
void
SendHealth(ResponseWriter& aWriter, bool aIsHealthy)
{
  aWriter.SetKeepsConnection(false);
  aWriter.SendComplete(aIsHealthy ? 200 : 503,
                       { { "Content-Type", "text/plain" } },
                       aIsHealthy ? "ok\n" : "not ready\n");
}

bool
IsReady(const CallerHandlerDependencies& aDependencies)
{
  const ConfigAdmission admission = DecideConfigAdmission(
    CurrentFreshness(aDependencies, aDependencies.mConfig.State()),
    aDependencies.mClock.Now());
  return !aDependencies.mStopping && admission != ConfigAdmission::None &&
         aDependencies.mConfig.Active()->mVersion > 0;
}

} // namespace

RequestHandler
MakeCallerHandler(CallerHandlerDependencies aDependencies)
{
  return [aDependencies](ServerRequest& aRequest, ResponseWriter& aWriter) {
    const std::string& path = aRequest.Head().mUri;
    if (path == "/healthz") {
      SendHealth(aWriter, true);
    } else if (path == "/readyz") {
      SendHealth(aWriter, IsReady(aDependencies));
    } else {
      CallerHandler(aDependencies).Run(aRequest, aWriter);
    }
  };
}

} // namespace hibiscushold
