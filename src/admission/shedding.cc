#include "admission/shedding.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Measured waits are ignored after this time.
constexpr auto kFirstEventMaxAge = milliseconds(1500);
/// Fraction of the latency target that the expected wait may reach before
/// requests are shed. The rest covers the transfer to the caller and the
/// variance of waits.
constexpr double kTargetFraction = 0.8;
/// Some requests are always accepted, as only they show when the queue has
/// drained.
constexpr double kMaxShedProbability = 0.8;
constexpr auto kMinRetryAfter = milliseconds(400);
constexpr auto kMaxRetryAfter = milliseconds(2000);
/// Callers wait before they retry for at most their remaining time divided by
/// this.
constexpr int kRemainingTimeDivisor = 3;

} // namespace

double
ExpectedFirstEventMillis(const TargetLoad& aLoad, TimePoint aNow)
{
  const Duration age = aNow - aLoad.mFirstEventAt;
  if (age >= kFirstEventMaxAge) {
    return 0;
  }
  const double weight =
    1 - static_cast<double>(ToMillis(age)) / kFirstEventMaxAge.count();
  return aLoad.mFirstEventMillis * weight;
}

double
ShedProbability(double aExpectedMillis, milliseconds aTarget)
{
  const double limit = static_cast<double>(aTarget.count()) * kTargetFraction;
  if (aExpectedMillis <= limit) {
    return 0;
  }
  return std::min(kMaxShedProbability, 1 - limit / aExpectedMillis);
}

milliseconds
RetryAfterDelay(double aExpectedMillis, Duration aLeft)
{
  const milliseconds drained(static_cast<int64_t>(aExpectedMillis * 2));
  const milliseconds longest(ToMillis(aLeft) / kRemainingTimeDivisor);
  return std::min(
    std::clamp<milliseconds>(drained, kMinRetryAfter, kMaxRetryAfter), longest);
}

} // namespace hibiscushold
