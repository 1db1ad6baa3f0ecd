#include "serve/requestrun.h"

#include "core/ids.h"
#include "core/random.h"
#include "serve/attemptend.h"
#include "serve/attemptrecord.h"

#include <optional>
#include <set>
#include <thread>

namespace hibiscushold {

namespace {

/// How often a request with a silent target looks for another one.
constexpr auto kTakeoverInterval = milliseconds(50);

class RequestRun;

/// One attempt of a request at one target.
class TargetAttempt final
  : public AttemptSink
  , public NestedAttempt
{
public:
  /// @param aOuter the attempt with the silent target, or null
  TargetAttempt(RequestRun& aRun,
                InFlightTable& aInFlight,
                const Candidate& aCandidate,
                TargetAttempt* aOuter)
    : NestedAttempt(aOuter)
    , mCandidate(aCandidate)
    , mRun(aRun)
    , mInFlight(std::in_place, aInFlight, aCandidate.mId)
  {
  }

  bool OnEvent(std::string_view aEvent) override;
  bool IsCallerDisconnected() override;
  bool OnSilence(WaitingAttempt& aAttempt) override;
  bool IsSuperseded() override { return HasOuterProgress(); }

  /// Ends the count of the attempt as one that runs at its target.
  void LeaveTarget() { mInFlight.reset(); }

  const Candidate& mCandidate;
  bool mHasEvents = false;   ///< it has passed an event to the caller
  bool mSilenceSeen = false; ///< the target has been silent before
  bool mReconnected = false; ///< sent again on a new connection

private:
  void OnReplaced() override { LeaveTarget(); }

  RequestRun& mRun;
  std::optional<InFlightTable::ScopedCount> mInFlight; ///< none once replaced
};

/// State of one request over all its attempts.
class RequestRun
{
public:
  RequestRun(const Dispatcher::Dependencies& aDependencies,
             const Dispatcher::Timeouts& aTimeouts,
             const CallerRequest& aRequest,
             EventSink& aSink)
    : mDependencies(aDependencies)
    , mTimeouts(aTimeouts)
    , mRequest(aRequest)
    , mSink(aSink)
  {
  }

  /// @param aClaim claim of a request that must not run twice, or null
  ResultOrRefusal<Dispatcher::Response> Run(const OwnedClaim* aClaim)
  {
    mDependencies.mRetries.AddRequest(RouteName());
    for (;;) {
      const std::optional<Candidate> candidate = Choose();
      if (!candidate) {
        return NoTargetRefusal(mRequest, mProgress);
      }
      if (aClaim != nullptr && !mDependencies.mClaims.MaySend(*aClaim)) {
        return DeadlineRefusal(mProgress);
      }
      Ending ending = RunOnTarget(*candidate, nullptr);
      if (mTakeover) {
        ending = std::move(*mTakeover);
        mTakeover.reset();
      }
      AttemptReport& report = ending.mReport;
      if (report.mOutcome == AttemptOutcome::Answered) {
        return Dispatcher::Response{ report.mStreamed,
                                     std::move(report.mResponse) };
      }
      if (!WaitForRetry(report)) {
        return AttemptRefusal(report, mProgress);
      }
      mTried.insert(ending.mTarget);
      RecordRetry(
        mDependencies, mRequest, ending.mTarget, NameOf(report.mOutcome));
    }
  }

  bool OnEvent(std::string_view aEvent)
  {
    ++mProgress.mEventsForwarded;
    return mSink.OnEvent(aEvent);
  }

  bool IsCallerDisconnected() { return mSink.IsCallerDisconnected(); }

  /// Tries to have another attempt take over from one with a silent target. The
  /// silent target keeps the request until a response to the other attempt has
  /// begun, as its silence alone doesn't mean that it won't answer.
  /// @return whether another attempt has taken over
  bool TryTakeover(TargetAttempt& aSilent, const WaitingAttempt& aWaiting)
  {
    const TimePoint now = mDependencies.mClock.Now();
    if (!aSilent.mSilenceSeen) {
      aSilent.mSilenceSeen = true;
      RecordTargetFailure(mDependencies, aSilent.mCandidate.mId);
    }
    if (!IsIdempotent() || mIsResumeRejected || now < mNextTakeoverAt ||
        now >= mRequest.mDeadline) {
      return false;
    }
    mNextTakeoverAt = now + kTakeoverInterval;
    std::optional<Ending> ending = MayReconnect(aSilent, aWaiting.IsReused())
                                     ? Reconnect(aSilent, &aSilent)
                                     : TryNextTarget(aSilent);
    if (!ending) {
      return false;
    }
    mIsResumeRejected = mIsResumeRejected ||
                        ending->mReport.mOutcome == AttemptOutcome::NotResumed;
    const bool answered = ending->mReport.mOutcome == AttemptOutcome::Answered;
    if (!mTakeover && (answered || aSilent.IsReplaced())) {
      mTakeover = std::move(ending);
    }
    return mTakeover.has_value();
  }

private:
  /// How an attempt ended, and at which target.
  struct Ending
  {
    std::string mTarget;
    AttemptReport mReport;
  };

  const std::string& RouteName() const { return mRequest.mMatch.mRoute->mName; }

  bool IsIdempotent() const { return mRequest.mMatch.mPolicy->mIdempotent; }

  std::optional<Candidate> Choose() const
  {
    std::vector<Candidate> candidates =
      mDependencies.mTargets.Find(mRequest.mMatch, mTried);
    const std::optional<size_t> chosen =
      ChooseCandidate(candidates,
                      { mRequest.mPrefix, NextRandom() },
                      mDependencies.mClock.Now());
    if (!chosen) {
      return std::nullopt;
    }
    return std::move(candidates[*chosen]);
  }

  /// Takes one retry from the budget.
  /// @return whether there was one
  bool TakeRetry()
  {
    if (mDependencies.mRetries.TakeRetry(RouteName())) {
      return true;
    }
    if (!mBudgetDenied) {
      mBudgetDenied = true;
      mDependencies.mMetrics.CountDenial("retry_budget");
    }
    return false;
  }

  /// Runs an attempt at another target within the one whose target is silent.
  /// @return how it ended, or nothing if no attempt is allowed or possible
  std::optional<Ending> TryNextTarget(TargetAttempt& aSilent)
  {
    if (mAttempts > mRequest.mMatch.mPolicy->mRetries) {
      return std::nullopt;
    }
    mTried.insert(aSilent.mCandidate.mId);
    const std::optional<Candidate> candidate = Choose();
    if (!candidate || !TakeRetry()) {
      return std::nullopt;
    }
    RecordRetry(mDependencies,
                mRequest,
                aSilent.mCandidate.mId,
                NameOf(AttemptOutcome::IdleTimeout));
    return RunOnTarget(*candidate, &aSilent);
  }

  Ending RunOnTarget(const Candidate& aCandidate, TargetAttempt* aOuter)
  {
    ++mAttempts;
    TargetAttempt attempt(*this, mDependencies.mInFlight, aCandidate, aOuter);
    Ending ending = Send(attempt, false);
    const bool broken = ending.mReport.mOutcome == AttemptOutcome::Broken;
    if (broken && MayReconnect(attempt, ending.mReport.mReused)) {
      attempt.LeaveTarget();
      std::optional<Ending> second = Reconnect(attempt, aOuter);
      return second ? std::move(*second) : std::move(ending);
    }
    return ending;
  }

  bool MayReconnect(const TargetAttempt& aAttempt, bool aReused) const
  {
    return aReused && IsIdempotent() && !aAttempt.mHasEvents &&
           !aAttempt.mReconnected;
  }

  /// Sends a request once more to the same target, on a new connection, as the
  /// reused connection rather than the target may be at fault. The pool's idle
  /// connections to the target are closed.
  /// @param aOuter the attempt that waits meanwhile, or null
  /// @return how it ended, or nothing without a retry in the budget
  std::optional<Ending> Reconnect(TargetAttempt& aAttempt,
                                  TargetAttempt* aOuter)
  {
    aAttempt.mReconnected = true;
    mDependencies.mSessions.DiscardCreatedBefore(aAttempt.mCandidate.mAddress,
                                                 mDependencies.mClock.Now());
    if (!TakeRetry()) {
      return std::nullopt;
    }
    RecordRetry(mDependencies,
                mRequest,
                ToString(aAttempt.mCandidate.mAddress),
                "connection");
    TargetAttempt second(
      *this, mDependencies.mInFlight, aAttempt.mCandidate, aOuter);
    second.mReconnected = true;
    return Send(second, true);
  }

  /// Runs one attempt on one connection and records its outcome.
  Ending Send(TargetAttempt& aAttempt, bool aNewConnection)
  {
    const TimePoint sentAt = mDependencies.mClock.Now();
    const AttemptRequest request =
      MakeAttempt(aAttempt.mCandidate, aNewConnection);
    AttemptReport report = RunAttempt(
      mDependencies.mSessions, mDependencies.mClock, request, aAttempt);
    // The events were counted as they were passed on.
    AddAttempt(mProgress, report.mOutcome, 0);
    RecordOutcome(mDependencies,
                  aAttempt.mCandidate.mId,
                  report,
                  mDependencies.mClock.Now() - sentAt,
                  aAttempt.mSilenceSeen);
    return { aAttempt.mCandidate.mId, std::move(report) };
  }

  AttemptRequest MakeAttempt(const Candidate& aCandidate,
                             bool aNewConnection) const
  {
    AttemptRequest attempt;
    attempt.mResumeFrom = mProgress.mEventsForwarded;
    attempt.mTarget = aCandidate.mAddress;
    attempt.mMethod = mRequest.mMethod;
    attempt.mPath = mRequest.mPath;
    attempt.mBody = mRequest.mBody;
    attempt.mAttemptId = NewId();
    attempt.mDeadline = mRequest.mDeadline;
    attempt.mFields = { { "Content-Type", mRequest.mContentType },
                        { "X-Request-Id", mRequest.mId } };
    if (aCandidate.mGeneration != 0) {
      attempt.mFields.push_back(
        { kGenerationField, std::to_string(aCandidate.mGeneration) });
    }
    const Duration left =
      TimeLeft(mRequest.mDeadline, mDependencies.mClock.Now());
    attempt.mFields.push_back(
      { kTimeLeftField, std::to_string(ToMillis(left)) });
    attempt.mNewConnection = aNewConnection || !IsIdempotent();
    attempt.mCancelOnDisconnect = IsIdempotent();
    attempt.mFirstByteTimeout =
      IsIdempotent() ? mTimeouts.mFirstByteTimeout : Duration::zero();
    attempt.mEventTimeout = mTimeouts.mEventTimeout;
    attempt.mExpectStream = mRequest.mStream;
    return attempt;
  }

  /// Waits for the backoff if another attempt is allowed.
  /// @return whether to make another attempt
  bool WaitForRetry(const AttemptReport& aReport)
  {
    const TimePoint now = mDependencies.mClock.Now();
    if (!MayRetry(mRequest, aReport, mAttempts, now)) {
      return false;
    }
    const Duration backoff = RetryDelay(mAttempts, NextFraction());
    if (now + backoff >= mRequest.mDeadline || !TakeRetry()) {
      return false;
    }
    std::this_thread::sleep_for(backoff);
    return true;
  }

  const Dispatcher::Dependencies& mDependencies;
  const Dispatcher::Timeouts& mTimeouts;
  const CallerRequest& mRequest;
  EventSink& mSink;
  std::set<std::string> mTried;
  RequestProgress mProgress;
  uint32_t mAttempts = 0; ///< without those on a second connection
  bool mBudgetDenied = false;
  bool mIsResumeRejected = false; ///< another target didn't resume the stream
  TimePoint mNextTakeoverAt;
  /// How the attempt ended that took over from a silent target.
  std::optional<Ending> mTakeover;
};

bool
TargetAttempt::OnEvent(std::string_view aEvent)
{
  ReplaceOuter();
  mHasEvents = true;
  return mRun.OnEvent(aEvent);
}

bool
TargetAttempt::IsCallerDisconnected()
{
  return mRun.IsCallerDisconnected();
}

bool
TargetAttempt::OnSilence(WaitingAttempt& aAttempt)
{
  return RunInner(aAttempt, [&] { return mRun.TryTakeover(*this, aAttempt); });
}

} // namespace

ResultOrRefusal<Dispatcher::Response>
RunRequest(const Dispatcher::Dependencies& aDependencies,
           const Dispatcher::Timeouts& aTimeouts,
           const CallerRequest& aRequest,
           EventSink& aSink,
           const OwnedClaim* aClaim)
{
  return RequestRun(aDependencies, aTimeouts, aRequest, aSink).Run(aClaim);
}

} // namespace hibiscushold
