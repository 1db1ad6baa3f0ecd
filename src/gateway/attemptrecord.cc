#include "gateway/attemptrecord.h"

#include "core/hash.h"
#include "observe/events.h"

#include <algorithm>
#include <span>

namespace hibiscushold {

namespace {

/// How long a stalled target of a streaming route gets no new requests.
constexpr auto kStalledTargetAvoidance = milliseconds(1500);
/// How long a target gets no requests after another VM answered at its address.
constexpr auto kWrongVmAvoidance = milliseconds(1000);
constexpr size_t kMaxLoggedParts = 8;

/// @return the parts in hexadecimal, separated by commas
std::string
PartsText(std::span<const uint64_t> aParts)
{
  std::string text;
  for (const uint64_t it :
       aParts.first(std::min(aParts.size(), kMaxLoggedParts))) {
    text += (text.empty() ? "" : ",") + ToHex(it);
  }
  return text;
}

/// Logs that a target ended its connection before the response was complete.
/// @param aExpected whether the target was to end for another reason
void
LogBreak(const GatewayRequest& aRequest,
         const FleetTarget& aTarget,
         bool aExpected)
{
  LogEvent(EventId::TargetBrokeOff,
           { { "request", aRequest.mId },
             { "vm", aTarget.mVmId },
             { "start", std::to_string(aTarget.mStartedMillis) },
             { "expected", aExpected ? "yes" : "no" },
             { "parts", PartsText(aRequest.mTraits.mParts) },
             { "content", ToHex(aRequest.mTraits.mContent) },
             { "resource", ToHex(aRequest.mTraits.mResource.value_or(0)) } });
}

} // namespace

void
RecordOutcome(const GatewayDependencies& aDependencies,
              const FleetTarget& aTarget,
              const ExchangeReport& aReport)
{
  const TimePoint now = aDependencies.mClock.Now();
  TargetLoads& loads = aDependencies.mLoads;
  switch (aReport.mOutcome) {
    case ExchangeOutcome::Answered:
      loads.RecordSuccess(aTarget.mVmId);
      return;
    case ExchangeOutcome::NotRun:
      loads.RecordRejection(aTarget.mVmId, now);
      return;
    case ExchangeOutcome::WrongVm:
      loads.AvoidUntil(aTarget.mVmId, now + kWrongVmAvoidance);
      return;
    case ExchangeOutcome::ConnectFailed:
    case ExchangeOutcome::Broken:
    case ExchangeOutcome::Invalid:
      if (!aReport.mReused) {
        loads.RecordFailure(aTarget.mVmId, now);
      }
      aDependencies.mSessions.DiscardCreatedBefore(aTarget.mAddress, now);
      return;
    case ExchangeOutcome::Unsendable:
    case ExchangeOutcome::Stalled: // recorded when the stall began
    case ExchangeOutcome::Superseded:
    case ExchangeOutcome::Quarantined:
    case ExchangeOutcome::Stopping:
    case ExchangeOutcome::Deadline:
    case ExchangeOutcome::CallerDisconnected:
      return;
  }
}

void
AvoidStalledTarget(const GatewayDependencies& aDependencies,
                   const FleetRoute& aRoute,
                   const FleetTarget& aTarget)
{
  const TimePoint now = aDependencies.mClock.Now();
  if (aRoute.mRetryPolicy == RetryPolicy::Stream) {
    aDependencies.mLoads.AvoidStalledUntil(aTarget.mVmId,
                                           now + kStalledTargetAvoidance);
  } else {
    aDependencies.mLoads.RecordFailure(aTarget.mVmId, now);
  }
}

void
RecordEvidence(const GatewayDependencies& aDependencies,
               const GatewayRequest& aRequest,
               const FleetTarget& aTarget,
               const ExchangeReport& aReport,
               TimePoint aSentAt)
{
  Quarantine& quarantine = aDependencies.mQuarantine;
  const TimePoint now = aDependencies.mClock.Now();
  const uint64_t target = TargetStartId(aTarget.mVmId, aTarget.mStartedMillis);
  if (aReport.mOutcome == ExchangeOutcome::Broken && aReport.mSentBytes > 0) {
    // A target that leaves, or whose group was dissolved, ends for that reason.
    const bool expected =
      !IsListed(*aDependencies.mTargets(), aRequest.mService, aTarget) ||
      IsLeaving(aTarget, aDependencies.mLoads.Get(aTarget.mVmId));
    LogBreak(aRequest, aTarget, expected);
    if (!expected) {
      quarantine.RecordCrash(aRequest.mTraits, target, aReport.mBeganAt, now);
    }
    return;
  }
  const bool answered = aReport.mOutcome == ExchangeOutcome::Answered;
  if (!aReport.mMarksItsEnd ||
      (!answered && aReport.mOutcome != ExchangeOutcome::NotRun)) {
    return;
  }
  quarantine.RecordAlive(target, aSentAt, now);
  const int status = aReport.mResponse.mStatus;
  if (answered && status >= 200 && status < 300) {
    quarantine.RecordAnswer(
      aRequest.mTraits, aSentAt + aReport.mTimeToFirstEvent, now);
  }
}

void
LogAttempt(const GatewayDependencies& aDependencies,
           const GatewayRequest& aRequest,
           const FleetTarget& aTarget,
           const ExchangeReport& aReport,
           const LoadAtChoice& aLoad)
{
  if (aReport.mOutcome != ExchangeOutcome::Answered) {
    aDependencies.mMetrics.CountRetry(NameOf(aReport.mOutcome));
  }
  const Duration elapsed = aDependencies.mClock.Now() - aRequest.mArrivedAt;
  LogEvent(
    EventId::RequestTried,
    { { "request", aRequest.mId },
      { "route", aRequest.mRoute->mName },
      { "vm", aTarget.mVmId },
      { "group", aTarget.mGroup.mName },
      { "end", NameOf(aReport.mOutcome) },
      { "status", std::to_string(aReport.mResponse.mStatus) },
      { "last_event", std::to_string(aReport.mLastEvent) },
      { "first_ms", std::to_string(ToMillis(aReport.mTimeToFirstEvent)) },
      { "gap_ms", std::to_string(ToMillis(aReport.mLongestEventGap)) },
      { "ms", std::to_string(ToMillis(elapsed)) },
      { "prompt", std::to_string(aRequest.mPromptTokens) },
      { "in_flight", std::to_string(aLoad.mInFlight) },
      { "expected_ms",
        std::to_string(static_cast<int>(aLoad.mFirstEventMillis)) },
      { "delayed", aLoad.mIsDelayed ? "yes" : "no" },
      { "version", std::to_string(aRequest.mConfig->mVersion) },
      { "framing", aReport.mFraming ? NameOf(*aReport.mFraming) : "" },
      { "body", std::to_string(aReport.mBodyBytes) },
      { "stalled", aReport.mWasStalled ? "yes" : "no" },
      { "detail", aReport.mDetail } });
}

void
LogCut(const GatewayDependencies& aDependencies,
       const GatewayRequest& aRequest,
       const CutResponse& aCut)
{
  const TimePoint now = aDependencies.mClock.Now();
  aDependencies.mMetrics.CountCut(aCut.mReason);
  LogEvent(EventId::ResponseCut,
           { { "request", aRequest.mId },
             { "route", aRequest.mRoute->mName },
             { "reason", std::string(aCut.mReason) },
             { "started", aCut.mStarted ? "yes" : "no" },
             { "attempts", std::to_string(aCut.mAttempts) },
             { "last_event", std::to_string(aCut.mLastEvent) },
             { "ms", std::to_string(ToMillis(now - aRequest.mArrivedAt)) },
             { "left_ms", std::to_string(ToMillis(aRequest.mDeadline - now)) },
             { "version", std::to_string(aRequest.mConfig->mVersion) } });
}

} // namespace hibiscushold
