#pragma once

#include "serve/attempt.h"

namespace hibiscushold {

/// @return the refusal of a request that has no target
Refusal
NoTargetRefusal(const CallerRequest& aRequest,
                const RequestProgress& aProgress);

/// Gives no retry time: a retry needs a new idempotency key, since the claim of
/// this key may already be marked as unknown.
/// @return the refusal of a request that must no longer be sent
Refusal
DeadlineRefusal(const RequestProgress& aProgress);

/// @param aReport the last attempt, which was not answered
/// @return the refusal of a request that is not tried again
Refusal
AttemptRefusal(const AttemptReport& aReport, const RequestProgress& aProgress);

/// @param aAttempts attempts made so far
/// @return whether another attempt is allowed after this one
bool
MayRetry(const CallerRequest& aRequest,
         const AttemptReport& aReport,
         uint32_t aAttempts,
         TimePoint aNow);

} // namespace hibiscushold
