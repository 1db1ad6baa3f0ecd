#include "route/adaptivelimit.h"

#include "route/admission.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 256;
constexpr double kDecreaseFactor = 0.85;
constexpr double kIncreaseFactor = 1.1;
/// Replaces kIncreaseFactor until the limit is lowered for the first time.
constexpr double kInitialIncreaseFactor = 1.5;
/// A queue of up to 1/n of the running requests is tolerated.
constexpr uint32_t kToleratedQueueDivisor = 10;
/// Without load reports, a mean response time above this multiple of the
/// minimum is taken as a queue at the target.
constexpr int kQueueTimeFactor = 2;
/// Minimum time between changes of a limit without load reports.
constexpr auto kMinAdjustInterval = milliseconds(500);

/// Length of the queue at a target.
enum class QueueLevel
{
  None,
  Tolerated,
  Excessive,
};

QueueLevel
QueueLevelOf(const TargetLimit& aLimit, const LimitSignal& aSignal)
{
  if (!aSignal.mLoadReport) {
    return aLimit.mMean > aLimit.mMin * kQueueTimeFactor ? QueueLevel::Excessive
                                                         : QueueLevel::None;
  }
  const LoadReport& report = *aSignal.mLoadReport;
  const uint32_t tolerated =
    std::max(1U, report.mRunning / kToleratedQueueDivisor);
  return report.mQueued > tolerated ? QueueLevel::Excessive
         : report.mQueued > 0       ? QueueLevel::Tolerated
                                    : QueueLevel::None;
}

/// @return whether the signal reflects the latest change of the limit
bool
IsFresh(const TargetLimit& aLimit, const LimitSignal& aSignal, TimePoint aNow)
{
  return aSignal.mLoadReport
           ? aSignal.mLoadReport->mRequestedAt > aLimit.mChangedAt
           : aNow >= aLimit.mChangedAt + kMinAdjustInterval;
}

} // namespace

TargetLimit
AdjustLimit(const TargetLimit& aLimit,
            const LimitSignal& aSignal,
            TimePoint aNow)
{
  if (!IsFresh(aLimit, aSignal, aNow)) {
    return aLimit;
  }
  const QueueLevel level = QueueLevelOf(aLimit, aSignal);
  const bool used =
    aSignal.mHasWaiting || aSignal.mInFlight + 1 >= aLimit.mLimit;
  TargetLimit next = aLimit;
  if (level == QueueLevel::Excessive && aSignal.mInFlight > 0) {
    next.mLimit = std::max(kMinLimit, aLimit.mLimit * kDecreaseFactor);
    next.mWasLowered = true;
  } else if (level == QueueLevel::None && used) {
    const double growth =
      aLimit.mWasLowered ? kIncreaseFactor : kInitialIncreaseFactor;
    const double grown = std::max(aLimit.mLimit + 1, aLimit.mLimit * growth);
    next.mLimit = std::min(kMaxLimit, grown);
  }
  if (next.mLimit != aLimit.mLimit) {
    next.mChangedAt = aNow;
  }
  return next;
}

TargetLimit
AddResponseTime(const TargetLimit& aLimit, Duration aResponseTime)
{
  const ServiceTime time =
    AddSample({ aLimit.mMean, aLimit.mMin }, aResponseTime);
  TargetLimit next = aLimit;
  next.mMean = time.mMean;
  next.mMin = time.mMin;
  return next;
}

} // namespace hibiscushold
