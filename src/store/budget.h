#pragma once

#include "core/clock.h"
#include "store/platform.h"

namespace hibiscushold {

/// A token bucket for calls to the store. Calls of lower priorities are
/// throttled while it still holds tokens, which reserves these for claims and
/// leases.
struct CallBudget
{
  double mRefillPerSecond = 0; ///< also its capacity
  double mTokens = 0;
  TimePoint mRefilledAt;
};

/// @return a full bucket with a capacity of aCallsPerSecond
CallBudget
MakeCallBudget(double aCallsPerSecond, TimePoint aNow);

/// Refills the bucket and takes one token, unless only tokens that are reserved
/// for higher priorities are left.
/// @return whether a token was taken
bool
TryTakeCall(CallBudget& aBudget, CallPriority aPriority, TimePoint aNow);

} // namespace hibiscushold
