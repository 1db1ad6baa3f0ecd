#pragma once

#include "serve/dispatcher.h"

namespace hibiscushold {

/// Updates the limits and the health of a target with the outcome of an
/// attempt.
/// @param aDuration of the attempt
/// @param aSilenceSeen whether the target's silence was recorded as a failure
///        when it began
void
RecordOutcome(const Dispatcher::Dependencies& aDependencies,
              const std::string& aTarget,
              const AttemptReport& aReport,
              Duration aDuration,
              bool aSilenceSeen);

/// Records a failure of a target, and its ejection if it follows from that.
void
RecordTargetFailure(const Dispatcher::Dependencies& aDependencies,
                    const std::string& aTarget);

/// Counts and logs that a request is sent once more.
/// @param aTarget the target that didn't answer
/// @param aReason its outcome, or "connection"
void
RecordRetry(const Dispatcher::Dependencies& aDependencies,
            const CallerRequest& aRequest,
            const std::string& aTarget,
            const char* aReason);

} // namespace hibiscushold
