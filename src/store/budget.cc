#include "store/budget.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// @return share of the capacity reserved for priorities above aPriority
double
ReservedShare(CallPriority aPriority)
{
  switch (aPriority) {
    case CallPriority::Claim:
      return 0.0;
    case CallPriority::Lease:
      return 0.05;
    case CallPriority::Config:
      return 0.15;
    case CallPriority::Status:
      return 0.3;
  }
  return 0.3;
}

} // namespace

CallBudget
MakeCallBudget(double aCallsPerSecond, TimePoint aNow)
{
  return { aCallsPerSecond, aCallsPerSecond, aNow };
}

bool
TryTakeCall(CallBudget& aBudget, CallPriority aPriority, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBudget.mRefilledAt;
  aBudget.mRefilledAt = aNow;
  aBudget.mTokens =
    std::min(aBudget.mRefillPerSecond,
             aBudget.mTokens + elapsed.count() * aBudget.mRefillPerSecond);
  if (aBudget.mTokens <
      1.0 + ReservedShare(aPriority) * aBudget.mRefillPerSecond) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace hibiscushold
