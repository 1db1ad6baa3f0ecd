#include "serve/dispatcher.h"

#include "core/ids.h"
#include "core/random.h"
#include "observe/events.h"

#include <algorithm>
#include <thread>

namespace hibiscushold {

namespace {

constexpr uint32_t kNoTargetRetryAfterMillis = 1000;

Refusal
NoTargetRefusal(const CallerRequest& aRequest, const RequestProgress& aProgress)
{
  return { RefusalKind::NoTarget,
           "no target of '" + aRequest.mMatch.mRoute->mDestination +
             "' can serve now",
           aProgress.WhetherRan(),
           kNoTargetRetryAfterMillis };
}

/// Gives no retry time: a retry needs a new idempotency key, since the claim of
/// this key may already be marked as unknown.
Refusal
DeadlineRefusal(const RequestProgress& aProgress)
{
  return { RefusalKind::DeadlinePassed,
           "the deadline passed before the request was sent",
           aProgress.WhetherRan() };
}

Refusal
AttemptRefusal(const AttemptReport& aReport, const RequestProgress& aProgress)
{
  const Ran ran = aProgress.WhetherRan();
  const bool late = aReport.mOutcome == AttemptOutcome::TimedOut;
  return { late             ? RefusalKind::DeadlinePassed
           : ran == Ran::No ? RefusalKind::NoTarget
                            : RefusalKind::TargetFailed,
           std::string("the target failed: ") + NameOf(aReport.mOutcome) +
             ", " + aReport.mDetail,
           ran,
           ran == Ran::No ? kNoTargetRetryAfterMillis : 0 };
}

Refusal
AdmissionRefusal(const Denial& aDenial)
{
  const bool limit = aDenial.mReason == DenyReason::AccountRate ||
                     aDenial.mReason == DenyReason::AccountConcurrency;
  const auto wait = std::max<int64_t>(1, ToMillis(aDenial.mRetryAfter));
  return { limit ? RefusalKind::RateLimited : RefusalKind::Overloaded,
           std::string("not let in: ") + NameOf(aDenial.mReason),
           Ran::No,
           static_cast<uint32_t>(wait) };
}

/// @param aAttempts attempts made so far
/// @return whether another attempt is allowed after this one
bool
MayRetry(const CallerRequest& aRequest,
         const AttemptReport& aReport,
         uint32_t aAttempts,
         TimePoint aNow)
{
  const bool safe = RanAfter(aReport.mOutcome) == Ran::No ||
                    aRequest.mMatch.mPolicy->mIdempotent;
  return safe && aReport.mOutcome != AttemptOutcome::CallerDisconnected &&
         aReport.mOutcome != AttemptOutcome::NotResumed &&
         aAttempts <= aRequest.mMatch.mPolicy->mRetries &&
         aNow < aRequest.mDeadline;
}

} // namespace

Dispatcher::Dispatcher(Dependencies aDependencies, Timeouts aTimeouts)
  : mDependencies(aDependencies)
  , mTimeouts(aTimeouts)
{
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::Run(const CallerRequest& aRequest, EventSink& aSink)
{
  const AccountRule* account =
    FindRule(aRequest.mConfig->mRules.mAccounts, aRequest.mAccount);
  auto permit = mDependencies.mAdmission.Admit(
    { *account, aRequest.mMatch, aRequest.mDeadline });
  if (!permit) {
    return AdmissionRefusal(permit.error());
  }
  ResultOrRefusal<Response> response = RunAdmitted(aRequest, aSink);
  if (response) {
    permit.value()->MarkAnswered();
  }
  return response;
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::RunAdmitted(const CallerRequest& aRequest, EventSink& aSink)
{
  if (aRequest.mMatch.mPolicy->mIdempotent) {
    return RunAttempts(aRequest, aSink, nullptr);
  }
  return RunAtMostOnce(aRequest, aSink);
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::RunAtMostOnce(const CallerRequest& aRequest, EventSink& aSink)
{
  std::optional<BufferedResponse> stored;
  ResultOrRefusal<OwnedClaim> claim =
    mDependencies.mClaims.Acquire(aRequest, stored);
  if (stored) {
    return Response{ false, *stored };
  }
  if (!claim) {
    return claim.error();
  }
  ResultOrRefusal<Response> response =
    RunAttempts(aRequest, aSink, &claim.value());
  if (response && response.value().mStreamed) {
    mDependencies.mClaims.FinishStream(claim.value());
  } else if (response) {
    mDependencies.mClaims.Finish(claim.value(), response.value().mBuffered);
  } else if (!response && response.error().mRan == Ran::No) {
    mDependencies.mClaims.Release(claim.value());
  } else {
    mDependencies.mClaims.MarkUnknown(claim.value());
  }
  return response;
}

ResultOrRefusal<Dispatcher::Response>
Dispatcher::RunAttempts(const CallerRequest& aRequest,
                        EventSink& aSink,
                        const OwnedClaim* aClaim)
{
  std::set<std::string> tried;
  RequestProgress progress;
  mDependencies.mRetries.AddRequest(aRequest.mMatch.mRoute->mName);
  for (uint32_t attempts = 1;; ++attempts) {
    const std::vector<Candidate> candidates =
      mDependencies.mTargets.Find(aRequest.mMatch, tried);
    const std::optional<size_t> chosen =
      ChooseCandidate(candidates,
                      { aRequest.mPrefix, NextRandom() },
                      mDependencies.mClock.Now());
    if (!chosen) {
      return NoTargetRefusal(aRequest, progress);
    }
    if (aClaim != nullptr && !mDependencies.mClaims.MaySend(*aClaim)) {
      return DeadlineRefusal(progress);
    }
    const Candidate& candidate = candidates[*chosen];
    AttemptReport report = RunOnTarget(aRequest, candidate, progress, aSink);
    if (report.mOutcome == AttemptOutcome::Answered) {
      return Response{ report.mStreamed, std::move(report.mResponse) };
    }
    AddAttempt(progress, report.mOutcome, report.mEventsForwarded);
    progress.mMayHaveRun = progress.mMayHaveRun || report.mReconnected;
    if (!WaitForRetry(aRequest, report, attempts)) {
      return AttemptRefusal(report, progress);
    }
    tried.insert(candidate.mId);
    mDependencies.mMetrics.CountRetry(NameOf(report.mOutcome));
    LogEvent(EventId::RequestRetried,
             { { "request", aRequest.mId },
               { "target", candidate.mId },
               { "reason", NameOf(report.mOutcome) } });
  }
}

AttemptReport
Dispatcher::RunOnTarget(const CallerRequest& aRequest,
                        const Candidate& aCandidate,
                        const RequestProgress& aProgress,
                        EventSink& aSink)
{
  AttemptRequest attempt;
  attempt.mResumeFrom = aProgress.mEventsForwarded;
  attempt.mTarget = aCandidate.mAddress;
  attempt.mMethod = aRequest.mMethod;
  attempt.mPath = aRequest.mPath;
  attempt.mBody = aRequest.mBody;
  attempt.mAttemptId = NewId();
  attempt.mDeadline = aRequest.mDeadline;
  attempt.mFields = { { "Content-Type", aRequest.mContentType },
                      { "X-Request-Id", aRequest.mId } };
  if (aCandidate.mGeneration != 0) {
    attempt.mFields.push_back(
      { kGenerationField, std::to_string(aCandidate.mGeneration) });
  }
  const Duration left =
    TimeLeft(aRequest.mDeadline, mDependencies.mClock.Now());
  attempt.mFields.push_back({ kTimeLeftField, std::to_string(ToMillis(left)) });
  const InFlightTable::ScopedCount entry(mDependencies.mInFlight,
                                         aCandidate.mId);
  const TimePoint sentAt = mDependencies.mClock.Now();
  AttemptReport report = SendAttempt(attempt, aRequest, aSink);
  RecordAttempt(aCandidate, report, mDependencies.mClock.Now() - sentAt);
  return report;
}

void
Dispatcher::RecordAttempt(const Candidate& aCandidate,
                          const AttemptReport& aReport,
                          Duration aDuration)
{
  const TimePoint now = mDependencies.mClock.Now();
  // If a queue at the target has reduced its concurrency limit before, the
  // timeout is attributed to overload and not to the target's health.
  const bool overload = aReport.mOutcome == AttemptOutcome::TimedOut &&
                        mDependencies.mLimits.WasLowered(aCandidate.mId);
  if (overload || aReport.mOutcome == AttemptOutcome::CallerDisconnected ||
      aReport.mOutcome == AttemptOutcome::TargetRefused) {
    return;
  }
  if (aReport.mOutcome == AttemptOutcome::Answered) {
    const auto timePerUnit = TimePerUnit(
      aDuration, aReport.mEventsForwarded, aReport.mResponse.mBody.size());
    mDependencies.mLimits.AddResponseTime(aCandidate.mId, aDuration);
    mDependencies.mHealth.AddSuccess(aCandidate.mId, timePerUnit, now);
  } else if (mDependencies.mHealth.AddFailure(aCandidate.mId, now)) {
    mDependencies.mMetrics.CountEjection("failed");
    LogEvent(EventId::TargetEjected,
             { { "target", aCandidate.mId }, { "reason", "failed" } });
  }
}

bool
Dispatcher::WaitForRetry(const CallerRequest& aRequest,
                         const AttemptReport& aReport,
                         uint32_t aAttempts)
{
  const TimePoint now = mDependencies.mClock.Now();
  if (!MayRetry(aRequest, aReport, aAttempts, now)) {
    return false;
  }
  const Duration backoff = RetryDelay(aAttempts, NextFraction());
  if (now + backoff >= aRequest.mDeadline) {
    return false;
  }
  if (!mDependencies.mRetries.TakeRetry(aRequest.mMatch.mRoute->mName)) {
    mDependencies.mMetrics.CountDenial("retry_budget");
    return false;
  }
  std::this_thread::sleep_for(backoff);
  return true;
}

AttemptReport
Dispatcher::SendAttempt(AttemptRequest aAttempt,
                        const CallerRequest& aRequest,
                        EventSink& aSink)
{
  const bool idempotent = aRequest.mMatch.mPolicy->mIdempotent;
  aAttempt.mNewConnection = !idempotent;
  aAttempt.mCancelOnDisconnect = idempotent;
  aAttempt.mFirstByteTimeout =
    idempotent ? mTimeouts.mFirstByteTimeout : Duration::zero();
  aAttempt.mEventTimeout = mTimeouts.mEventTimeout;
  aAttempt.mExpectStream = aRequest.mStream;
  if (!idempotent) {
    return RunAttempt(
      mDependencies.mSessions, mDependencies.mClock, aAttempt, aSink);
  }
  AttemptReport report = RunWithReconnect(
    mDependencies.mSessions, mDependencies.mClock, aAttempt, aSink, [&] {
      return mDependencies.mRetries.TakeRetry(aRequest.mMatch.mRoute->mName);
    });
  if (report.mReconnected) {
    mDependencies.mMetrics.CountRetry("connection");
    LogEvent(EventId::RequestRetried,
             { { "request", aRequest.mId },
               { "target", ToString(aAttempt.mTarget) },
               { "reason", "connection" } });
  }
  return report;
}

} // namespace hibiscushold
