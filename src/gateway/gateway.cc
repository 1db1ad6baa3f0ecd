#include "gateway/gateway.h"

#include "core/guard.h"
#include "core/random.h"
#include "gateway/callerrequest.h"
#include "gateway/peerforwarder.h"
#include "gateway/requestforwarder.h"
#include "observe/events.h"
#include "observe/processuse.h"

#include <algorithm>
#include <optional>

namespace hibiscushold {

namespace {

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

/// One of the places for requests of other nodes.
class PeerPlace
{
public:
  explicit PeerPlace(Peers& aPeers)
    : mPeers(aPeers)
    , mIsTaken(aPeers.TryBeginServing())
  {
  }

  ~PeerPlace()
  {
    if (mIsTaken) {
      mPeers.EndServing();
    }
  }

  PeerPlace(const PeerPlace&) = delete;
  PeerPlace& operator=(const PeerPlace&) = delete;

  /// @return whether there was one
  bool IsTaken() const { return mIsTaken; }

private:
  Peers& mPeers;
  const bool mIsTaken;
};

/// Handles one request of a caller.
class CallerHandler final
{
public:
  explicit CallerHandler(const GatewayDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
  }

  void Run(ServerRequest& aRequest, ResponseWriter& aWriter)
  {
    try {
      Handle(aRequest, aWriter);
    } catch (...) {
      try {
        EndFailed(aRequest.Head(), aWriter, DescribeException());
      } catch (...) {
        // Logging and rendering the answer were refused memory as well.
        CountDroppedEvent();
        aWriter.SendWithoutMemory(mMayHaveRun, mDependencies.mClock);
      }
    }
  }

private:
  void Handle(ServerRequest& aRequest, ResponseWriter& aWriter)
  {
    const RequestHead& head = aRequest.Head();
    // Callers are to come back at another node. Other nodes use a connection
    // once.
    aWriter.SetKeepsConnection(aWriter.KeepsConnection() &&
                               !mDependencies.mStopping &&
                               AssessReachOf(mDependencies) == Reach::Full &&
                               !HasField(head, kPeerField));
    ResultOrRefusal<GatewayRequest> request = Admit(head);
    std::optional<PeerPlace> place;
    if (request && request.value().mIsFromPeer &&
        !place.emplace(mDependencies.mPeers).IsTaken()) {
      request = Refusal{ RefusalKind::Overloaded,
                         "the node serves many requests of other nodes",
                         Ran::No,
                         kElsewhereRetryMillis };
    }
    if (request) {
      const ResultOrRefusal<void> body =
        ReadBody(aRequest, mDependencies.mBodies, request.value());
      if (!body) {
        request = body.error();
      }
    }
    if (!request) {
      // Unread bytes of the body must not be parsed as the next request.
      aWriter.SetKeepsConnection(false);
      SendRefusal(head, aWriter, request.error(), HasField(head, kPeerField));
      aWriter.DiscardRest(mDependencies.mClock);
      return;
    }
    mMayHaveRun = true;
    const ResultOrRefusal<void> served = Serve(request.value(), aWriter);
    if (!served) {
      SendRefusal(head, aWriter, served.error(), false);
    }
  }

  ResultOrRefusal<void> Serve(const GatewayRequest& aRequest,
                              ResponseWriter& aWriter)
  {
    const Reach reach = AssessReachOf(mDependencies);
    if (reach != Reach::Full && !aRequest.mIsFromPeer) {
      if (const auto served = PassOnRequest(mDependencies, aRequest, aWriter)) {
        return *served;
      }
    }
    if (reach == Reach::None) {
      return UnreachableTargets();
    }
    return ForwardRequest(mDependencies, aRequest, aWriter);
  }

  /// Ends a request whose handling failed. A response that has started is cut.
  void EndFailed(const RequestHead& aRequest,
                 ResponseWriter& aWriter,
                 const std::string& aReason)
  {
    LogEvent(
      EventId::HandlerFailed,
      { { "request", FieldOf(aRequest, mDependencies.mProtocol.mRequestId) },
        { "reason", aReason },
        { "process", Describe(MeasureProcess()) } });
    mDependencies.mMetrics.CountFailure("request");
    if (aWriter.HasStarted()) {
      mDependencies.mMetrics.CountCut("handler_failed");
      aWriter.Abort();
      return;
    }
    aWriter.SetKeepsConnection(false);
    const Refusal refusal =
      mMayHaveRun ? Refusal{ RefusalKind::TargetFailed,
                             "the node failed to handle the request",
                             Ran::Unknown }
                  : Refusal{ RefusalKind::Overloaded,
                             "the node failed before it sent the request",
                             Ran::No,
                             kElsewhereRetryMillis };
    SendRefusal(aRequest, aWriter, refusal, false);
    if (!mMayHaveRun) {
      aWriter.DiscardRest(mDependencies.mClock); // the body may be unread
    }
  }

  ResultOrRefusal<GatewayRequest> Admit(const RequestHead& aRequest)
  {
    const FleetConfigPtr config = mDependencies.mWatcher.Config();
    if (config == nullptr) {
      return Refusal{ RefusalKind::ConfigNotFresh,
                      "the node knows no configuration yet",
                      Ran::No,
                      kUnreadyRetryMillis };
    }
    BOOST_OUTCOME_TRY(
      isFromPeer, CheckPeer(aRequest, mDependencies.mPeers, config->mVersion));
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
    if (isFromPeer && AssessReachOf(mDependencies) != Reach::Full) {
      return UnreachableTargets();
    }
    BOOST_OUTCOME_TRY(LimitToStop(request));
    request.mIsFromPeer = isFromPeer;
    return std::move(request);
  }

  /// Refuses a request that the stop of this node would cut, and moves the
  /// deadline of any other to the end of the stop at the latest.
  ResultOrRefusal<void> LimitToStop(GatewayRequest& aRequest) const
  {
    const StopWindow& window = mDependencies.mStopWindow;
    if (!MayTake(window,
                 aRequest.mDeadline,
                 mDependencies.mUsualTimes.Get(aRequest.mRoute->mName),
                 mDependencies.mClock.Now())) {
      return Refusal{ RefusalKind::Stopping,
                      "the node is about to stop",
                      Ran::No,
                      kElsewhereRetryMillis };
    }
    aRequest.mDeadline =
      std::min(aRequest.mDeadline, window.mServeUntil.load());
    return boost::outcome_v2::success();
  }

  static Refusal UnreachableTargets()
  {
    return { RefusalKind::NoTarget,
             "the node reaches no target",
             Ran::No,
             kElsewhereRetryMillis };
  }

  /// @param aForPeer whether another node has passed the request on, and may
  ///        offer it to a further one if it was refused with status 503
  void SendRefusal(const RequestHead& aRequest,
                   ResponseWriter& aWriter,
                   const Refusal& aRefusal,
                   bool aForPeer)
  {
    const std::string id =
      FieldOf(aRequest, mDependencies.mProtocol.mRequestId);
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
    if (aForPeer && StatusOf(aRefusal.mKind) == 503) {
      fields.push_back({ kElsewhereField, NameOf(aRefusal.mKind) });
    }
    if (aRefusal.mRetryAfterMillis > 0) {
      fields.push_back(
        { "Retry-After", SecondsText(aRefusal.mRetryAfterMillis) });
    }
    aWriter.SendComplete(
      StatusOf(aRefusal.mKind), fields, RenderRefusal(aRefusal));
  }

  const GatewayDependencies& mDependencies;
  bool mMayHaveRun = false; ///< a target may have been sent the request
};

} // namespace

void
HandleCaller(const GatewayDependencies& aDependencies,
             ServerRequest& aRequest,
             ResponseWriter& aWriter)
{
  CallerHandler(aDependencies).Run(aRequest, aWriter);
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
