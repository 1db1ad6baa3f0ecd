#include "route/health.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Consecutive failures that eject a target.
constexpr uint32_t kFailuresToEject = 5;
/// Samples needed before a target is compared with others.
constexpr uint32_t kMinSamples = 8;
/// Length of the shortest response that is measured, in units.
constexpr uint64_t kMinUnits = 8;
constexpr size_t kBytesPerUnit = 8;
/// TargetHealth::mTimePerUnit rises by 1/n of its distance from a larger
/// sample.
constexpr int kRiseDivisor = 16;
constexpr int kSlowFactor = 2; ///< of the median time per unit
/// At most one of this many targets is ejected; with fewer to compare, none is.
constexpr size_t kTargetsPerEjection = 3;
constexpr uint32_t kMaxDoublings = 5;
constexpr auto kFirstEjection = seconds(2);
constexpr auto kRecoveryPeriod = seconds(10);
constexpr double kRecoveryStartWeight = 0.1;

using Seconds = std::chrono::duration<double>;

/// @return whether the target is in use and has enough samples to be compared
bool
IsComparable(const TargetHealth& aHealth, TimePoint aNow)
{
  return aNow >= aHealth.mEjectedUntil && aHealth.mSamples >= kMinSamples;
}

} // namespace

TargetHealth
AddSuccess(const TargetHealth& aHealth,
           std::optional<Duration> aTimePerUnit,
           TimePoint aNow)
{
  TargetHealth next = aHealth;
  next.mFailures = 0;
  if (aHealth.mEjections > 0 &&
      aNow >= aHealth.mEjectedUntil + 2 * kRecoveryPeriod) {
    next.mEjections = 0;
  }
  if (aTimePerUnit) {
    const bool first = aHealth.mSamples == 0;
    next.mTimePerUnit =
      first || *aTimePerUnit < aHealth.mTimePerUnit
        ? *aTimePerUnit
        : aHealth.mTimePerUnit +
            (*aTimePerUnit - aHealth.mTimePerUnit) / kRiseDivisor;
    ++next.mSamples;
  }
  return next;
}

TargetHealth
AddFailure(const TargetHealth& aHealth, TimePoint aNow)
{
  TargetHealth next = aHealth;
  ++next.mFailures;
  const bool isRecovering = aNow < aHealth.mEjectedUntil + kRecoveryPeriod;
  if (aNow >= aHealth.mEjectedUntil &&
      (isRecovering || next.mFailures >= kFailuresToEject)) {
    return Eject(next, aNow);
  }
  return next;
}

double
WeightOf(const TargetHealth& aHealth, TimePoint aNow)
{
  if (aNow < aHealth.mEjectedUntil) {
    return 0;
  }
  const Seconds since = aNow - aHealth.mEjectedUntil;
  return std::clamp(
    since / Seconds(kRecoveryPeriod), kRecoveryStartWeight, 1.0);
}

std::vector<size_t>
FindStragglers(std::span<const TargetHealth> aTargets, TimePoint aNow)
{
  size_t allowed = aTargets.size() / kTargetsPerEjection;
  std::vector<size_t> comparable;
  for (size_t i = 0; i < aTargets.size(); ++i) {
    allowed -= aNow < aTargets[i].mEjectedUntil && allowed > 0 ? 1 : 0;
    if (IsComparable(aTargets[i], aNow)) {
      comparable.push_back(i);
    }
  }
  if (comparable.size() < kTargetsPerEjection) {
    return {};
  }
  std::sort(
    comparable.begin(), comparable.end(), [&](size_t aLeft, size_t aRight) {
      return aTargets[aLeft].mTimePerUnit > aTargets[aRight].mTimePerUnit;
    });
  const Duration median =
    aTargets[comparable[comparable.size() / 2]].mTimePerUnit;
  std::vector<size_t> slow;
  for (const size_t it : comparable) {
    if (slow.size() == allowed ||
        aTargets[it].mTimePerUnit <= median * kSlowFactor) {
      break;
    }
    slow.push_back(it);
  }
  return slow;
}

TargetHealth
Eject(const TargetHealth& aHealth, TimePoint aNow)
{
  TargetHealth next;
  const uint32_t doublings = std::min(aHealth.mEjections, kMaxDoublings);
  next.mEjectedUntil = aNow + kFirstEjection * (1U << doublings);
  next.mEjections = aHealth.mEjections + 1;
  return next;
}

std::optional<Duration>
TimePerUnit(Duration aResponseTime, uint64_t aEvents, size_t aBytes)
{
  const uint64_t units = aEvents > 0 ? aEvents : aBytes / kBytesPerUnit;
  if (units < kMinUnits) {
    return std::nullopt;
  }
  return aResponseTime / static_cast<int64_t>(units);
}

} // namespace hibiscushold
