#pragma once

#include "core/clock.h"
#include "fleet/targetloads.h"

namespace hibiscushold {

/// @return the expected wait of a new request for its first event, in
///         milliseconds, derived from recent requests at the target; zero when
///         there are none
double
ExpectedFirstEventMillis(const TargetLoad& aLoad, TimePoint aNow);

/// Computes the probability of rejecting a request immediately, so that
/// accepted requests get a response in time. Without load shedding, a queue
/// that stays slightly too long makes every response late.
/// @param aExpectedMillis expected wait of the request for its first event
/// @param aTarget the route's latency target
/// @return a probability of at least 0 and less than 1
double
ShedProbability(double aExpectedMillis, milliseconds aTarget);

/// Computes when a rejected request should be sent again: after the time that
/// the current queue needs to drain.
/// @param aExpectedMillis expected wait of the request for its first event
/// @param aLeft time until the caller's deadline
/// @return the time to wait, at most a third of aLeft
milliseconds
RetryAfterDelay(double aExpectedMillis, Duration aLeft);

} // namespace hibiscushold
