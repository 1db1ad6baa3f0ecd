#include "serve/attemptend.h"

namespace hibiscushold {

namespace {

constexpr uint32_t kNoTargetRetryAfterMillis = 1000;

} // namespace

Refusal
NoTargetRefusal(const CallerRequest& aRequest, const RequestProgress& aProgress)
{
  return { RefusalKind::NoTarget,
           "no target of '" + aRequest.mMatch.mRoute->mDestination +
             "' can serve now",
           aProgress.WhetherRan(),
           kNoTargetRetryAfterMillis };
}

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

} // namespace hibiscushold
