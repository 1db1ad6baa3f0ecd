#include "store/budget.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// @return share of the capacity that is reserved for classes above aClass
double
ReservedShare(CallPriority aClass)
{
  switch (aClass) {
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
TryTakeCall(CallBudget& aBudget, CallPriority aClass, TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aBudget.mRefilledAt;
  aBudget.mRefilledAt = aNow;
  aBudget.mTokens =
    std::min(aBudget.mRefillPerSecond,
             aBudget.mTokens + elapsed.count() * aBudget.mRefillPerSecond);
  if (aBudget.mTokens <
      1.0 + ReservedShare(aClass) * aBudget.mRefillPerSecond) {
    return false;
  }
  aBudget.mTokens -= 1.0;
  return true;
}

} // namespace hibiscushold
