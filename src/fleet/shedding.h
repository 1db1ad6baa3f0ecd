#pragma once

#include "core/clock.h"
#include "fleet/loads.h"

namespace hibiscushold {

/// @return the wait for a first event that a new request at the target would
///         meet, in milliseconds, by what requests lately met there; zero when
///         nothing recent is known
double
ExpectedFirstMillis(const TargetLoad& aLoad, TimePoint aNow);

/// How likely a request is refused at once, so that those that are taken are
/// answered in time. Without this, a queue that stands a little too long makes
/// every answer late.
/// @param aExpectedMillis the wait that the request would meet
/// @param aTarget the route's latency target
/// @return a chance of at least 0 and less than 1
double
ShedChance(double aExpectedMillis, milliseconds aTarget);

/// When a refused request should come back: when the queue that it would have
/// met is worked off.
/// @param aLeft time that the caller still has
milliseconds
ComeBackAfter(double aExpectedMillis, Duration aLeft);

} // namespace hibiscushold
