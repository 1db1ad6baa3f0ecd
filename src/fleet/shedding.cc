#include "fleet/shedding.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Waits seen so long ago say nothing any more.
constexpr auto kFirstMemory = milliseconds(1500);
/// Part of the latency target that a wait may take before requests are shed;
/// the rest is the way to the caller and the spread of waits.
constexpr double kTargetPart = 0.8;
/// Some requests are always let in, as only they show that the queue is gone.
constexpr double kMostShed = 0.8;
constexpr auto kLeastReturn = milliseconds(400);
constexpr auto kMostReturn = milliseconds(2000);
/// Callers heed a time of up to a third of what they have left.
constexpr int kReturnParts = 3;

} // namespace

double
ExpectedFirstMillis(const TargetLoad& aLoad, TimePoint aNow)
{
  const Duration age = aNow - aLoad.mFirstAt;
  if (age >= kFirstMemory) {
    return 0;
  }
  const double fade =
    1 - static_cast<double>(ToMillis(age)) / kFirstMemory.count();
  return aLoad.mFirstMillis * fade;
}

double
ShedChance(double aExpectedMillis, milliseconds aTarget)
{
  const double limit = static_cast<double>(aTarget.count()) * kTargetPart;
  if (aExpectedMillis <= limit) {
    return 0;
  }
  return std::min(kMostShed, 1 - limit / aExpectedMillis);
}

milliseconds
ComeBackAfter(double aExpectedMillis, Duration aLeft)
{
  const milliseconds drained(static_cast<int64_t>(aExpectedMillis * 2));
  const milliseconds heeded(ToMillis(aLeft) / kReturnParts);
  return std::min(std::clamp<milliseconds>(drained, kLeastReturn, kMostReturn),
                  heeded);
}

} // namespace hibiscushold
