#include "gateway/requestforwarder.h"

#include "core/random.h"
#include "fleet/shedding.h"
#include "observe/events.h"

#include <thread>

namespace hibiscushold {

namespace {

/// Failed connects cost only time, as no target can have run the request, so
/// they do not count as attempts.
constexpr int kMaxConnectFailures = 3;
/// Connecting takes one round trip between zones and a few milliseconds.
constexpr auto kConnectTimeout = milliseconds(150);
/// Fraction of the route's latency target that a non-streaming response may
/// take before the request is sent to another target.
constexpr double kAttemptLatencyFraction = 0.6;
/// How long a stalled target of a streaming route gets no new requests.
constexpr auto kStalledTargetAvoidance = milliseconds(1500);
/// How long a target gets no requests after another VM answered at its address.
constexpr auto kWrongVmAvoidance = milliseconds(1000);
/// How long a broken stream waits for a group that can resume it; callers
/// abandon a stream that pauses for two seconds.
constexpr auto kResumeTimeout = milliseconds(1300);
constexpr auto kResumePollInterval = milliseconds(50);
/// A group that lost a VM is formed again in about a second.
constexpr uint32_t kNoGroupRetryMillis = 900;
constexpr uint32_t kOverloadRetryMillis = 250;

/// @return whether the status tells the caller that the request did not run
bool
ImpliesNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/// State of one request over all its attempts.
class RequestForwarder final : public StreamSink
{
public:
  RequestForwarder(const GatewayDependencies& aDependencies,
                   const GatewayRequest& aRequest,
                   ResponseWriter& aWriter)
    : mDependencies(aDependencies)
    , mRequest(aRequest)
    , mWriter(aWriter)
    , mLastEvent(aRequest.mLastEvent)
  {
  }

  ResultOrRefusal<void> Run()
  {
    mDependencies.mRetryBudget.AddRequest(mRequest.mService,
                                          mDependencies.mClock.Now());
    for (;;) {
      const FleetTargetsPtr targets = mDependencies.mTargets();
      const FleetTarget* target = Choose(*targets);
      if (target == nullptr && mWriter.HasStarted() && MayWaitToResume()) {
        std::this_thread::sleep_for(kResumePollInterval);
        continue;
      }
      if (target == nullptr) {
        return Fail(RefusalKind::NoTarget, kNoGroupRetryMillis, "no_target");
      }
      // On a busy node the caller may have disconnected while the request was
      // waiting to be handled.
      if (mWriter.IsCallerDisconnected()) {
        return AbortForCaller();
      }
      if (mAttemptsSent == 0 &&
          mRequest.mRoute->mRetryPolicy == RetryPolicy::Stream) {
        BOOST_OUTCOME_TRY(AdmitOrShed(*target));
      }
      if (mAttemptsSent > 0 &&
          !mDependencies.mRetryBudget.TryTakeRetry(
            mRequest.mService, mDependencies.mClock.Now())) {
        mDependencies.mMetrics.CountDenial("repeat_budget");
        return Fail(
          RefusalKind::TargetFailed, kOverloadRetryMillis, "retry_budget");
      }
      ExchangeReport report = Attempt(*target);
      RecordOutcome(*target, report);
      if (const auto end = HandleOutcome(*target, report)) {
        return *end;
      }
    }
  }

  bool OnHead(int aStatus, const std::vector<HttpField>& aFields) override
  {
    if (mWriter.HasStarted()) {
      return true; // resumed at another target
    }
    mDependencies.mMetrics.ObserveLatency(
      "first", mDependencies.mClock.Now() - mRequest.mArrivedAt);
    return mWriter.StartStream(aStatus, aFields);
  }

  bool OnEvents(std::string_view aEvents) override
  {
    return mWriter.SendChunk(aEvents);
  }

  bool IsCallerDisconnected() override
  {
    return mWriter.IsCallerDisconnected();
  }

private:
  const FleetTarget* Choose(const FleetTargets& aTargets)
  {
    const auto found = aTargets.mByService.find(mRequest.mService);
    if (found == aTargets.mByService.end() || found->second.empty()) {
      return nullptr;
    }
    const bool servesModels = !found->second.front().mModel.empty();
    const ChoiceInput input{ mDependencies.mZone,
                             servesModels ? std::string_view(mRequest.mModel)
                                          : "",
                             mDependencies.mClock.Now(),
                             NextFraction() };
    return ChooseTarget(found->second, mDependencies.mLoads, input, mExcluded);
  }

  /// Sheds load: refuses the request with a probability that depends on how its
  /// expected wait for the first event compares to the latency target.
  ResultOrRefusal<void> AdmitOrShed(const FleetTarget& aTarget)
  {
    const TimePoint now = mDependencies.mClock.Now();
    const double expected =
      ExpectedFirstEventMillis(mDependencies.mLoads.Get(aTarget.mVmId), now);
    if (NextFraction() >=
        ShedProbability(expected, mRequest.mRoute->mLatencyTarget)) {
      return boost::outcome_v2::success();
    }
    mDependencies.mMetrics.CountDenial("expected_wait");
    const milliseconds retryAfter =
      RetryAfterDelay(expected, TimeLeft(mRequest.mDeadline, now));
    return Refusal{ RefusalKind::Overloaded,
                    "a first event is expected after " +
                      std::to_string(static_cast<int>(expected)) + " ms",
                    Ran::No,
                    static_cast<uint32_t>(retryAfter.count()) };
  }

  bool MayWaitToResume()
  {
    const TimePoint now = mDependencies.mClock.Now();
    if (!mResumeDeadline) {
      mResumeDeadline = now + kResumeTimeout;
    }
    return now < std::min(*mResumeDeadline, mRequest.mDeadline) &&
           !mWriter.IsCallerDisconnected();
  }

  ExchangeReport Attempt(const FleetTarget& aTarget)
  {
    mInFlight = mDependencies.mLoads.Get(aTarget.mVmId).mInFlight;
    const TimePoint now = mDependencies.mClock.Now();
    const bool stream = mRequest.mRoute->mRetryPolicy == RetryPolicy::Stream;
    // A request that must not run twice gets a new connection, as a pooled one
    // may be stale.
    ExchangeRequest exchange{ aTarget,
                              mRequest.mMethod,
                              mRequest.mUri,
                              mRequest.mFields,
                              mRequest.mBody,
                              mRequest.mId,
                              mRequest.mDeadline,
                              mRequest.mDeadline,
                              kConnectTimeout,
                              mLastEvent,
                              !mRequest.AllowsRetry(),
                              stream,
                              mRequest.mPromptTokens };
    if (mLastEvent > 0) {
      exchange.mFields.push_back(
        { mDependencies.mProtocol.mLastEvent, std::to_string(mLastEvent) });
    }
    if (mRequest.mRoute->mRetryPolicy == RetryPolicy::Idempotent &&
        mAttemptsSent + 1 < mRequest.mRoute->mAttempts) {
      exchange.mAttemptDeadline =
        now + std::chrono::duration_cast<Duration>(
                mRequest.mRoute->mLatencyTarget * kAttemptLatencyFraction);
    }
    return RunExchange({ mDependencies.mSessions,
                         mDependencies.mLoads,
                         mDependencies.mProtocol,
                         mDependencies.mClock },
                       exchange,
                       *this);
  }

  void RecordOutcome(const FleetTarget& aTarget, const ExchangeReport& aReport)
  {
    const TimePoint now = mDependencies.mClock.Now();
    mLastEvent = aReport.mLastEvent;
    switch (aReport.mOutcome) {
      case ExchangeOutcome::Answered:
        mDependencies.mLoads.RecordSuccess(aTarget.mVmId);
        return;
      case ExchangeOutcome::NotRun:
        mDependencies.mLoads.RecordRejection(aTarget.mVmId, now);
        return;
      case ExchangeOutcome::WrongVm:
        mDependencies.mLoads.AvoidUntil(aTarget.mVmId, now + kWrongVmAvoidance);
        return;
      case ExchangeOutcome::Stalled:
        if (mRequest.mRoute->mRetryPolicy == RetryPolicy::Stream) {
          mDependencies.mLoads.AvoidUntil(aTarget.mVmId,
                                          now + kStalledTargetAvoidance);
        } else {
          mDependencies.mLoads.RecordFailure(aTarget.mVmId, now);
        }
        return;
      case ExchangeOutcome::ConnectFailed:
      case ExchangeOutcome::Broken:
      case ExchangeOutcome::Invalid:
        if (!aReport.mReused) {
          mDependencies.mLoads.RecordFailure(aTarget.mVmId, now);
        }
        mDependencies.mSessions.DiscardCreatedBefore(aTarget.mAddress, now);
        return;
      case ExchangeOutcome::Deadline:
      case ExchangeOutcome::CallerDisconnected:
        return;
    }
  }

  /// Decides how to continue after an attempt.
  /// @return the final result of the request, or nothing to try another target
  std::optional<ResultOrRefusal<void>> HandleOutcome(const FleetTarget& aTarget,
                                                     ExchangeReport& aReport)
  {
    LogAttempt(aTarget, aReport);
    switch (aReport.mOutcome) {
      case ExchangeOutcome::CallerDisconnected:
        return AbortForCaller();
      case ExchangeOutcome::Answered:
        if (aReport.mStreamed) {
          return EndStream();
        }
        break;
      default:
        break;
    }
    const bool notSent =
      aReport.mOutcome == ExchangeOutcome::ConnectFailed ||
      (aReport.mSentBytes == 0 && aReport.mOutcome == ExchangeOutcome::Broken);
    if (notSent) {
      if (++mConnectFailures >= kMaxConnectFailures) {
        return Fail(
          RefusalKind::NoTarget, kOverloadRetryMillis, "connect_failed");
      }
      // A failure of a stale pooled connection does not exclude its target.
      if (!aReport.mReused) {
        mExcluded.insert(aTarget.mVmId);
      }
      return std::nullopt;
    }
    ++mAttemptsSent;
    const bool notRun = aReport.mOutcome == ExchangeOutcome::NotRun ||
                        aReport.mOutcome == ExchangeOutcome::WrongVm;
    mMayHaveRun = mMayHaveRun || !notRun;
    if (MayRetry(aReport)) {
      mExcluded.insert(aTarget.mVmId);
      return std::nullopt;
    }
    return EndWith(aReport);
  }

  bool MayRetry(const ExchangeReport& aReport) const
  {
    if (aReport.mOutcome == ExchangeOutcome::Deadline ||
        mAttemptsSent >= mRequest.mRoute->mAttempts ||
        mDependencies.mClock.Now() >= mRequest.mDeadline) {
      return false;
    }
    if (aReport.mOutcome == ExchangeOutcome::Answered) {
      return aReport.mResponse.mStatus >= 500 && mRequest.AllowsRetry();
    }
    return !mMayHaveRun || mRequest.AllowsRetry();
  }

  ResultOrRefusal<void> EndWith(ExchangeReport& aReport)
  {
    switch (aReport.mOutcome) {
      case ExchangeOutcome::Answered:
        return RelayResponse(aReport.mResponse);
      case ExchangeOutcome::Deadline:
        return Fail(RefusalKind::DeadlinePassed, 0, "deadline");
      case ExchangeOutcome::NotRun:
      case ExchangeOutcome::WrongVm:
        return Fail(RefusalKind::Overloaded,
                    kOverloadRetryMillis,
                    NameOf(aReport.mOutcome));
      default:
        return Fail(RefusalKind::TargetFailed, 0, NameOf(aReport.mOutcome));
    }
  }

  ResultOrRefusal<void> RelayResponse(const TargetResponse& aResponse)
  {
    if (mWriter.HasStarted()) {
      return Fail(RefusalKind::TargetFailed, 0, "not_a_stream");
    }
    // These status codes tell the caller that the request did not run, but it
    // may have.
    if (!mRequest.AllowsRetry() && ImpliesNotRun(aResponse.mStatus)) {
      return Fail(RefusalKind::TargetFailed, 0, "status_implies_not_run");
    }
    mDependencies.mMetrics.CountAnswer(aResponse.mStatus);
    mDependencies.mMetrics.ObserveLatency(
      "last", mDependencies.mClock.Now() - mRequest.mArrivedAt);
    mWriter.SendComplete(aResponse.mStatus, aResponse.mFields, aResponse.mBody);
    return boost::outcome_v2::success();
  }

  ResultOrRefusal<void> EndStream()
  {
    mWriter.EndStream();
    mDependencies.mMetrics.CountAnswer(200);
    mDependencies.mMetrics.ObserveLatency(
      "last", mDependencies.mClock.Now() - mRequest.mArrivedAt);
    return boost::outcome_v2::success();
  }

  /// Ends the request with a refusal. If the request may have run, a kind that
  /// guarantees the opposite (status 503) is replaced by TargetFailed.
  /// @param aReason why no further attempt is made, for log and metrics
  ResultOrRefusal<void> Fail(RefusalKind aKind,
                             uint32_t aRetryMillis,
                             std::string_view aReason)
  {
    if (mWriter.IsCallerDisconnected()) {
      return AbortForCaller();
    }
    if (mWriter.HasStarted()) {
      RecordCut(aReason);
    }
    if (!mMayHaveRun) {
      const RefusalKind kind =
        StatusOf(aKind) == 503 ? aKind : RefusalKind::NoTarget;
      return Refusal{ kind,
                      "no target took the request",
                      Ran::No,
                      ClampRetryMillis(aRetryMillis) };
    }
    const RefusalKind kind =
      StatusOf(aKind) == 503 ? RefusalKind::TargetFailed : aKind;
    return Refusal{ kind, "the target did not answer", Ran::Unknown, 0 };
  }

  /// Ends a request whose caller has disconnected.
  ResultOrRefusal<void> AbortForCaller()
  {
    RecordCut("caller_disconnected");
    mWriter.Abort();
    return boost::outcome_v2::success();
  }

  void RecordCut(std::string_view aReason)
  {
    const TimePoint now = mDependencies.mClock.Now();
    mDependencies.mMetrics.CountCut(aReason);
    LogEvent(
      EventId::ResponseCut,
      { { "request", mRequest.mId },
        { "route", mRequest.mRoute->mName },
        { "reason", std::string(aReason) },
        { "started", mWriter.HasStarted() ? "yes" : "no" },
        { "attempts", std::to_string(mAttemptsSent) },
        { "last_event", std::to_string(mLastEvent) },
        { "ms", std::to_string(ToMillis(now - mRequest.mArrivedAt)) },
        { "left_ms", std::to_string(ToMillis(mRequest.mDeadline - now)) },
        { "version", std::to_string(mRequest.mConfig->mVersion) } });
  }

  uint32_t ClampRetryMillis(uint32_t aMillis) const
  {
    return std::max(aMillis, kOverloadRetryMillis);
  }

  void LogAttempt(const FleetTarget& aTarget, const ExchangeReport& aReport)
  {
    if (aReport.mOutcome != ExchangeOutcome::Answered) {
      mDependencies.mMetrics.CountRetry(NameOf(aReport.mOutcome));
    }
    const Duration elapsed = mDependencies.mClock.Now() - mRequest.mArrivedAt;
    LogEvent(
      EventId::RequestTried,
      { { "request", mRequest.mId },
        { "route", mRequest.mRoute->mName },
        { "vm", aTarget.mVmId },
        { "group", aTarget.mGroup.mName },
        { "end", NameOf(aReport.mOutcome) },
        { "status", std::to_string(aReport.mResponse.mStatus) },
        { "last_event", std::to_string(aReport.mLastEvent) },
        { "first_ms", std::to_string(ToMillis(aReport.mTimeToFirstEvent)) },
        { "gap_ms", std::to_string(ToMillis(aReport.mLongestEventGap)) },
        { "ms", std::to_string(ToMillis(elapsed)) },
        { "prompt", std::to_string(mRequest.mPromptTokens) },
        { "in_flight", std::to_string(mInFlight) },
        { "version", std::to_string(mRequest.mConfig->mVersion) },
        { "detail", aReport.mDetail } });
  }

  const GatewayDependencies& mDependencies;
  const GatewayRequest& mRequest;
  ResponseWriter& mWriter;
  std::set<std::string> mExcluded;
  std::optional<TimePoint> mResumeDeadline;
  uint64_t mLastEvent;
  uint32_t mInFlight = 0;     ///< requests at the target when it was chosen
  uint32_t mAttemptsSent = 0; ///< those that sent part of the request
  int mConnectFailures = 0;
  bool mMayHaveRun = false;
};

} // namespace

ResultOrRefusal<void>
ForwardRequest(const GatewayDependencies& aDependencies,
               const GatewayRequest& aRequest,
               ResponseWriter& aWriter)
{
  return RequestForwarder(aDependencies, aRequest, aWriter).Run();
}

} // namespace hibiscushold
