#include "store/budget.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// @return share of the capacity that is reserved for classes above aClass
double
ReservedShare(CallClass aClass)
{
  switch (aClass) {
    case CallClass::Claim:
      return 0.0;
    case CallClass::Lease:
      return 0.05;
    case CallClass::Config:
      return 0.15;
    case CallClass::Status:
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
TryTakeCall(CallBudget& aBudget, CallClass aClass, TimePoint aNow)
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
