#include "gateway/requestforwarder.h"

#include "core/guard.h"
#include "core/random.h"
#include "fleet/coldtargets.h"
#include "fleet/forecast.h"
#include "gateway/attempt.h"
#include "gateway/attemptrecord.h"
#include "gateway/roomcheck.h"
#include "observe/events.h"
#include "observe/processuse.h"

#include <thread>

namespace hibiscushold {

namespace {

/// Failed connects cost only time, as no target can have run the request, so
/// they do not count as attempts.
constexpr int kMaxConnectFailures = 3;
/// Connecting takes one round trip between zones and a few milliseconds.
constexpr auto kConnectTimeout = milliseconds(150);
/// Fraction of the route's latency target that a non-streaming response may
/// take before the request is sent to another target as well.
constexpr double kAttemptLatencyFraction = 0.6;
/// How long a broken stream waits for a group that can resume it; callers
/// abandon a stream that pauses for two seconds.
constexpr auto kResumeTimeout = milliseconds(1300);
constexpr auto kResumePollInterval = milliseconds(50);
/// How often a request with a stalled target looks for another one.
constexpr auto kTakeoverInterval = milliseconds(50);
/// Bounds the attempts of a request, and with them the stack, as each attempt
/// beside a stalled one runs within it.
constexpr uint32_t kMaxNestedAttempts = 8;
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
class RequestForwarder final : public AttemptOwner
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
    try {
      return RunAttempts();
    } catch (...) {
      if (mMayHaveRun || mUnreported > 0 || mWriter.HasStarted()) {
        throw;
      }
      LogEvent(EventId::HandlerFailed,
               { { "request", mRequest.mId },
                 { "reason", DescribeException() },
                 { "process", Describe(MeasureProcess()) } });
      mDependencies.mMetrics.CountFailure("request");
      return Refusal{ RefusalKind::Overloaded,
                      "the node failed before it sent the request",
                      Ran::No,
                      kOverloadRetryMillis };
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

  bool OnEvents(std::string_view aEvents, uint64_t aLastId) override
  {
    mLastEvent = aLastId;
    mResumeDeadline.reset();
    return mWriter.SendChunk(aEvents);
  }

  bool IsCallerDisconnected() const override
  {
    return mWriter.IsCallerDisconnected();
  }

  bool IsQuarantined() const override
  {
    return !mIsTrial && EndOfQuarantine().has_value();
  }

  bool IsNodeExiting() const override
  {
    return HasEnded(mDependencies.mStopWindow, mDependencies.mClock.Now());
  }

  bool TryTakeover(Attempt& aStalled) override
  {
    const TimePoint now = mDependencies.mClock.Now();
    if (now < mNextTakeoverAt || !mRequest.AllowsRetry() || mIsTrial ||
        IsQuarantined()) {
      return false;
    }
    mNextTakeoverAt = now + kTakeoverInterval;
    CountAttempt(aStalled);
    if (mAttempts >= kMaxNestedAttempts ||
        mConnectFailures >= kMaxConnectFailures || now >= mRequest.mDeadline) {
      return false;
    }
    mExcluded.insert(aStalled.mTarget.mVmId);
    const FleetTargetsPtr targets = mDependencies.mTargets();
    const bool mayUseAnother = mAttemptsSent < mRequest.mRoute->mAttempts;
    const FleetTarget* target =
      mayUseAnother ? Choose(*targets)
                    : ChooseSuperseded(*targets, aStalled.mTarget.mVmId);
    if (target == nullptr || !TakeRetry()) {
      return false;
    }
    if (!aStalled.mAvoided) {
      aStalled.mAvoided = true;
      AvoidStalledTarget(mDependencies, *mRequest.mRoute, aStalled.mTarget);
    }
    ExchangeReport report = RunAttempt(*target, &aStalled);
    const bool answered = report.mOutcome == ExchangeOutcome::Answered &&
                          report.mResponse.mStatus < 500 &&
                          !mWriter.HasStarted();
    if (!mTakeover && (answered || aStalled.IsReplaced())) {
      mTakeover = std::move(report);
    }
    return mTakeover.has_value();
  }

private:
  ResultOrRefusal<void> RunAttempts()
  {
    mDependencies.mRetryBudget.AddRequest(mRequest.mService,
                                          mDependencies.mClock.Now());
    for (;;) {
      DecideOnTrial();
      if (IsQuarantined()) {
        return FailQuarantined();
      }
      const FleetTargetsPtr targets = mDependencies.mTargets();
      const FleetTarget* target = Choose(*targets);
      if (target == nullptr && WaitToResume()) {
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
      if (mAttemptsSent == 0 && mLastEvent == 0 && IsStream()) {
        BOOST_OUTCOME_TRY(isDelayed,
                          CheckRoom(mDependencies, mRequest, *target));
        mIsDelayed = isDelayed;
      }
      if (mAttemptsSent > 0 && !TakeRetry()) {
        if (WaitToResume()) {
          continue;
        }
        return Fail(
          RefusalKind::TargetFailed, kOverloadRetryMillis, "retry_budget");
      }
      ExchangeReport report = RunAttempt(*target, nullptr);
      if (mTakeover) {
        report = std::move(*mTakeover);
        mTakeover.reset();
      }
      if (const auto end = HandleOutcome(report)) {
        return *end;
      }
    }
  }

  std::optional<TimePoint> EndOfQuarantine() const
  {
    return mDependencies.mQuarantine.EndOfQuarantine(mRequest.mTraits);
  }

  /// Decides before each attempt whether it is a trial, which only the first
  /// may be.
  void DecideOnTrial()
  {
    mIsTrial = EndOfQuarantine() && mAttempts == 0 &&
               mDependencies.mQuarantine.TryTrial(mRequest.mTraits,
                                                  mDependencies.mClock.Now());
  }

  const FleetTarget* Choose(const FleetTargets& aTargets)
  {
    const std::span<const FleetTarget> targets = TargetsOf(aTargets);
    return ChooseWithTurn(
      targets, mDependencies.mLoads, MakeChoiceInput(targets), mExcluded);
  }

  /// Chooses among the targets that have the request already, but were given up
  /// as a stalled one went on for a moment. They don't count against the
  /// route's attempts again.
  /// @param aStalled is not chosen
  const FleetTarget* ChooseSuperseded(const FleetTargets& aTargets,
                                      const std::string& aStalled) const
  {
    const std::span<const FleetTarget> targets = TargetsOf(aTargets);
    std::set<std::string> others{ aStalled };
    for (const FleetTarget& it : targets) {
      if (!mSuperseded.contains(it.mVmId)) {
        others.insert(it.mVmId);
      }
    }
    return ChooseWithTurn(
      targets, mDependencies.mLoads, MakeChoiceInput(targets), others);
  }

  bool IsStream() const
  {
    return mRequest.mRoute->mRetryPolicy == RetryPolicy::Stream;
  }

  /// @return the targets of the request's service
  std::span<const FleetTarget> TargetsOf(const FleetTargets& aTargets) const
  {
    const auto found = aTargets.mByService.find(mRequest.mService);
    return found == aTargets.mByService.end()
             ? std::span<const FleetTarget>()
             : std::span<const FleetTarget>(found->second);
  }

  /// @param aTargets of the request's service
  ChoiceInput MakeChoiceInput(std::span<const FleetTarget> aTargets) const
  {
    const bool servesModels =
      !aTargets.empty() && !aTargets.front().mModel.empty();
    return { mDependencies.mZone,
             servesModels ? std::string_view(mRequest.mModel) : "",
             mDependencies.mClock.Now(),
             NextFraction(),
             IsStream() ? OnTimeUntil(mRequest) : TimePoint{},
             mRequest.mPromptTokens,
             mDependencies.mDemandRecord.LeastFirstEvent(mRequest.mModel) };
  }

  /// Waits a short time for a target or a retry if a started stream may still
  /// be resumed.
  /// @return whether to try again
  bool WaitToResume()
  {
    if (!mWriter.HasStarted() || mWriter.IsCallerDisconnected()) {
      return false;
    }
    const TimePoint now = mDependencies.mClock.Now();
    if (!mResumeDeadline) {
      mResumeDeadline = now + kResumeTimeout;
    }
    if (now >= std::min(*mResumeDeadline, mRequest.mDeadline)) {
      return false;
    }
    std::this_thread::sleep_for(kResumePollInterval);
    return true;
  }

  /// Takes one retry from the budget.
  /// @return whether there was one
  bool TakeRetry()
  {
    if (mDependencies.mRetryBudget.TryTakeRetry(mRequest.mService,
                                                mDependencies.mClock.Now())) {
      return true;
    }
    if (!mBudgetDenied) {
      mBudgetDenied = true;
      mDependencies.mMetrics.CountDenial("repeat_budget");
    }
    return false;
  }

  /// @param aOuter the attempt with the stalled target, or null
  ExchangeRequest MakeExchange(const FleetTarget& aTarget,
                               const Attempt* aOuter) const
  {
    // A request that must not run twice gets a new connection, as a pooled one
    // may be stale.
    ExchangeRequest exchange{ aTarget,
                              mRequest.mMethod,
                              mRequest.mUri,
                              mRequest.mFields,
                              mRequest.mBody,
                              mRequest.mId,
                              mRequest.mDeadline,
                              TimePoint::max(),
                              kConnectTimeout,
                              mLastEvent,
                              !mRequest.AllowsRetry(),
                              IsStream(),
                              mRequest.mPromptTokens,
                              aOuter != nullptr,
                              mRequest.mIsFromPeer,
                              mIsDelayed };
    if (IsStream() && !aTarget.mModel.empty()) {
      exchange.mFields.push_back(
        { mDependencies.mProtocol.mPriority,
          std::to_string(EnginePriority(mRequest.mUrgency,
                                        mIsDelayed && mLastEvent == 0)) });
    }
    if (mLastEvent > 0) {
      exchange.mFields.push_back(
        { mDependencies.mProtocol.mLastEvent, std::to_string(mLastEvent) });
    }
    if (mRequest.mRoute->mRetryPolicy == RetryPolicy::Idempotent) {
      exchange.mStalledAt =
        mDependencies.mClock.Now() +
        std::chrono::duration_cast<Duration>(mRequest.mRoute->mLatencyTarget *
                                             kAttemptLatencyFraction);
    }
    return exchange;
  }

  /// Runs an attempt and records its outcome.
  /// @param aOuter the attempt with the stalled target, or null
  ExchangeReport RunAttempt(const FleetTarget& aTarget, Attempt* aOuter)
  {
    const TargetLoad load = mDependencies.mLoads.Get(aTarget.mVmId);
    Attempt attempt(
      *this,
      aTarget,
      { load.mInFlight,
        ForecastFirstEvent(
          aTarget.mTimes, aTarget.mSlots, load, mRequest.mPromptTokens),
        mIsDelayed },
      aOuter);
    attempt.mCounted = mSuperseded.contains(aTarget.mVmId);
    ++mAttempts;
    const TimePoint sentAt = mDependencies.mClock.Now();
    ++mUnreported;
    ExchangeReport report = RunExchange({ mDependencies.mSessions,
                                          mDependencies.mLoads,
                                          mDependencies.mBuffers,
                                          mDependencies.mReach,
                                          mDependencies.mProtocol,
                                          mDependencies.mClock },
                                        MakeExchange(aTarget, aOuter),
                                        attempt);
    const bool notRun = !WasSent(report) ||
                        report.mOutcome == ExchangeOutcome::NotRun ||
                        report.mOutcome == ExchangeOutcome::WrongVm;
    mMayHaveRun = mMayHaveRun || !notRun;
    --mUnreported;
    RecordOutcome(mDependencies, aTarget, report);
    RecordFirstEvent(attempt, report);
    LogAttempt(mDependencies, mRequest, aTarget, report, attempt.mLoad);
    RecordEvidence(mDependencies, mRequest, aTarget, report, sentAt);
    if (WasSent(report)) {
      CountAttempt(attempt);
      mExcluded.insert(aTarget.mVmId);
      if (report.mOutcome == ExchangeOutcome::Superseded) {
        mSuperseded.insert(aTarget.mVmId);
      }
      return report;
    }
    ++mConnectFailures;
    // A failure of a stale pooled connection does not exclude its target.
    if (!report.mReused) {
      mExcluded.insert(aTarget.mVmId);
    }
    return report;
  }

  /// Only the first attempt of an undisturbed stream shows how long a first
  /// event usually takes.
  void RecordFirstEvent(const Attempt& aAttempt, const ExchangeReport& aReport)
  {
    if (mAttempts == 1 && !mIsDelayed && aReport.mStreamed &&
        aReport.mOutcome == ExchangeOutcome::Answered && IsStream()) {
      mDependencies.mDemandRecord.RecordFirstEvent(
        aAttempt.mTarget.mModel,
        static_cast<double>(ToMillis(aReport.mTimeToFirstEvent)),
        aAttempt.mLoad.mFirstEventMillis);
    }
  }

  void CountAttempt(Attempt& aAttempt)
  {
    mAttemptsSent += aAttempt.mCounted ? 0 : 1;
    aAttempt.mCounted = true;
  }

  /// Decides how to continue after an attempt.
  /// @return the final result of the request, or nothing to try another target
  std::optional<ResultOrRefusal<void>> HandleOutcome(ExchangeReport& aReport)
  {
    if (aReport.mOutcome == ExchangeOutcome::CallerDisconnected) {
      return AbortForCaller();
    }
    if (aReport.mOutcome == ExchangeOutcome::Answered && aReport.mStreamed) {
      return EndStream();
    }
    if (!WasSent(aReport)) {
      if (mConnectFailures >= kMaxConnectFailures && !mWriter.HasStarted()) {
        return Fail(
          RefusalKind::NoTarget, kOverloadRetryMillis, "connect_failed");
      }
      return std::nullopt;
    }
    if (MayRetry(aReport)) {
      return std::nullopt;
    }
    return EndWith(aReport);
  }

  bool MayRetry(const ExchangeReport& aReport) const
  {
    if (aReport.mOutcome == ExchangeOutcome::Deadline ||
        aReport.mOutcome == ExchangeOutcome::Stopping ||
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
    RecordAnswer(aResponse.mStatus);
    mWriter.SendComplete(aResponse.mStatus, aResponse.mFields, aResponse.mBody);
    return boost::outcome_v2::success();
  }

  ResultOrRefusal<void> EndStream()
  {
    mWriter.EndStream();
    RecordAnswer(200);
    return boost::outcome_v2::success();
  }

  /// Records a complete response of a target. A response isn't cut because it
  /// can't be counted.
  void RecordAnswer(int aStatus) const noexcept
  {
    try {
      const Duration time = mDependencies.mClock.Now() - mRequest.mArrivedAt;
      mDependencies.mMetrics.CountAnswer(aStatus);
      mDependencies.mMetrics.ObserveLatency("last", time);
      mDependencies.mUsualTimes.Record(mRequest.mRoute->mName, time);
    } catch (const std::exception&) {
      CountDroppedEvent();
    }
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
                      kind == RefusalKind::Quarantined
                        ? "such requests have crashed targets"
                        : "no target took the request",
                      Ran::No,
                      RetryAfterMillis(aRetryMillis) };
    }
    const RefusalKind kind =
      StatusOf(aKind) == 503 ? RefusalKind::TargetFailed : aKind;
    return Refusal{ kind, "the target did not answer", Ran::Unknown, 0 };
  }

  /// Refuses the request until such requests may be sent to targets again.
  ResultOrRefusal<void> FailQuarantined()
  {
    const TimePoint now = mDependencies.mClock.Now();
    const Duration left = TimeLeft(EndOfQuarantine().value_or(now), now);
    return Fail(RefusalKind::Quarantined,
                static_cast<uint32_t>(ToMillis(left)),
                "quarantined");
  }

  /// Ends a request whose caller has disconnected.
  ResultOrRefusal<void> AbortForCaller()
  {
    RecordCut("caller_disconnected");
    mWriter.Abort();
    return boost::outcome_v2::success();
  }

  void RecordCut(std::string_view aReason) const
  {
    LogCut(mDependencies,
           mRequest,
           { aReason, mWriter.HasStarted(), mAttemptsSent, mLastEvent });
  }

  /// @return at least aMillis; longer while all targets ask for quiet
  uint32_t RetryAfterMillis(uint32_t aMillis) const
  {
    const FleetTargetsPtr all = mDependencies.mTargets();
    const std::span<const FleetTarget> targets = TargetsOf(*all);
    const ChoiceInput input = MakeChoiceInput(targets);
    const std::optional<TimePoint> end =
      EndOfQuiet(targets, mDependencies.mLoads, input);
    const Duration quiet = end ? *end - input.mNow : Duration::zero();
    return std::max({ aMillis,
                      kOverloadRetryMillis,
                      static_cast<uint32_t>(ToMillis(quiet)) });
  }

  const GatewayDependencies& mDependencies;
  const GatewayRequest& mRequest;
  ResponseWriter& mWriter;
  std::set<std::string> mExcluded;
  std::set<std::string> mSuperseded;        ///< see ChooseSuperseded
  std::optional<TimePoint> mResumeDeadline; ///< of the wait after a break
  uint64_t mLastEvent;        ///< id of the last event sent to the caller
  uint32_t mAttemptsSent = 0; ///< those that sent part of the request
  uint32_t mAttempts = 0;     ///< those that were begun
  bool mIsTrial = false; ///< the request is quarantined, but may be sent once
  int mConnectFailures = 0;
  bool mMayHaveRun = false;
  uint32_t mUnreported = 0; ///< exchanges that have begun and not returned
  bool mBudgetDenied = false;
  bool mIsDelayed = false; ///< targets serve others first
  TimePoint mNextTakeoverAt;
  /// Of the attempt that has taken over from the outermost one.
  std::optional<ExchangeReport> mTakeover;
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
