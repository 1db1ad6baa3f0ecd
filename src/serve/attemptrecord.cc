#include "serve/attemptrecord.h"

#include "observe/events.h"

namespace hibiscushold {

void
RecordOutcome(const Dispatcher::Dependencies& aDependencies,
              const std::string& aTarget,
              const AttemptReport& aReport,
              Duration aDuration,
              bool aSilenceSeen)
{
  // If a queue at the target has reduced its concurrency limit before, the
  // timeout is attributed to overload and not to the target's health.
  const bool overload = aReport.mOutcome == AttemptOutcome::TimedOut &&
                        aDependencies.mLimits.WasLowered(aTarget);
  const bool silent = aReport.mOutcome == AttemptOutcome::TimedOut ||
                      aReport.mOutcome == AttemptOutcome::IdleTimeout;
  if (overload || aReport.mOutcome == AttemptOutcome::CallerDisconnected ||
      aReport.mOutcome == AttemptOutcome::TargetRefused ||
      aReport.mOutcome == AttemptOutcome::Superseded ||
      (silent && aSilenceSeen)) {
    return;
  }
  if (aReport.mOutcome != AttemptOutcome::Answered) {
    RecordTargetFailure(aDependencies, aTarget);
    return;
  }
  const auto timePerUnit = TimePerUnit(
    aDuration, aReport.mEventsForwarded, aReport.mResponse.mBody.size());
  aDependencies.mLimits.AddResponseTime(aTarget, aDuration);
  aDependencies.mHealth.AddSuccess(
    aTarget, timePerUnit, aDependencies.mClock.Now());
}

void
RecordTargetFailure(const Dispatcher::Dependencies& aDependencies,
                    const std::string& aTarget)
{
  if (aDependencies.mHealth.AddFailure(aTarget, aDependencies.mClock.Now())) {
    aDependencies.mMetrics.CountEjection("failed");
    LogEvent(EventId::TargetEjected,
             { { "target", aTarget }, { "reason", "failed" } });
  }
}

void
RecordRetry(const Dispatcher::Dependencies& aDependencies,
            const CallerRequest& aRequest,
            const std::string& aTarget,
            const char* aReason)
{
  aDependencies.mMetrics.CountRetry(aReason);
  LogEvent(EventId::RequestRetried,
           { { "request", aRequest.mId },
             { "target", aTarget },
             { "reason", aReason } });
}

} // namespace hibiscushold
