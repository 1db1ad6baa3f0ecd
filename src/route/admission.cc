#include "route/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscushold {

namespace {

using Seconds = std::chrono::duration<double>;

/// While the total demand is below this fraction of a limit, members round
/// their parts up.
constexpr double kRoundUpFraction = 0.9;
/// The mean moves by this fraction (1/n) of its distance from a new sample.
constexpr int kMeanDivisor = 8;
/// The minimum rises by this fraction (1/n) of its distance from a larger
/// sample.
constexpr int kMinRiseDivisor = 64;
/// A queue that has not been empty for this long is taken as a sign of
/// overload.
constexpr auto kStandingQueueAge = milliseconds(300);
constexpr auto kMinQueueWait = milliseconds(100);
/// A request waits in a queue of that age for at most 1/n of the time until its
/// deadline.
constexpr int kMaxWaitDivisor = 4;
constexpr auto kMinRetryAfter = milliseconds(100);

Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

} // namespace

const char*
NameOf(DenyReason aReason)
{
  constexpr std::array<const char*, 5> kNames = {
    "account_rate", "account_concurrency", "queue_full", "shed", "too_late"
  };
  return kNames[static_cast<size_t>(aReason)];
}

std::optional<Duration>
TakeToken(TokenBucket& aBucket, double aRate, double aBurst, TimePoint aNow)
{
  const double elapsed = Seconds(aNow - aBucket.mUpdatedAt).count();
  const double spent = std::max(0.0, aBucket.mSpent - elapsed * aRate);
  aBucket.mUpdatedAt = aNow;
  aBucket.mSpent = std::min(spent, aBurst);
  const double missing = aBucket.mSpent + 1 - aBurst;
  if (missing > 1e-9) {
    return std::max<Duration>(ToDuration(missing / aRate), milliseconds(1));
  }
  aBucket.mSpent += 1;
  return std::nullopt;
}

double
LocalLimit(double aLimit, const Demand& aDemand)
{
  if (aDemand.mTotal > aLimit) {
    return aLimit * aDemand.mLocal / aDemand.mTotal;
  }
  const double rest = aLimit - aDemand.mTotal;
  return aDemand.mLocal + rest / static_cast<double>(aDemand.mMembers);
}

uint32_t
LocalConcurrencyLimit(uint32_t aLimit, const Demand& aDemand)
{
  const double limit = LocalLimit(aLimit, aDemand);
  const bool roundsUp = aDemand.mTotal < kRoundUpFraction * aLimit;
  return static_cast<uint32_t>(roundsUp ? std::ceil(limit) : std::round(limit));
}

ServiceTime
AddSample(const ServiceTime& aTime, Duration aSample)
{
  if (aTime.mMean == Duration::zero()) {
    return { aSample, aSample };
  }
  ServiceTime next;
  next.mMean = aTime.mMean + (aSample - aTime.mMean) / kMeanDivisor;
  next.mMin = aSample < aTime.mMin
                ? aSample
                : aTime.mMin + (aSample - aTime.mMin) / kMinRiseDivisor;
  return next;
}

AdmissionDecision
DecideAdmission(const PoolState& aState, TimePoint aDeadline, TimePoint aNow)
{
  // No target is available, so waiting is pointless. The dispatcher reports the
  // error at once.
  if (aState.mCapacity == 0) {
    return { AdmissionAction::Start, {} };
  }
  const Duration wait = ExpectedWait(aState, aState.mAhead);
  const bool starts =
    aState.mWaiting == 0 && aState.mRunning < aState.mCapacity;
  const TimePoint startAt = starts ? aNow : aNow + wait;
  if (startAt >= LatestStart(aState.mService, aDeadline)) {
    return { AdmissionAction::Deny, { DenyReason::TooLate, wait } };
  }
  if (starts) {
    return { AdmissionAction::Start, {} };
  }
  if (aState.mWaiting < aState.mQueueBound) {
    return { AdmissionAction::Wait, {} };
  }
  return { AdmissionAction::WaitAndShed, {} };
}

TimePoint
LatestStart(const ServiceTime& aServiceTime, TimePoint aDeadline)
{
  return aDeadline - aServiceTime.mMin;
}

TimePoint
QueueDeadline(const ServiceTime& aServiceTime,
              const QueueTimes& aTimes,
              TimePoint aDeadline)
{
  if (!aTimes.mSaturated) {
    return LatestStart(aServiceTime, aDeadline);
  }
  const Duration maxWait = (aDeadline - aTimes.mArrivedAt) / kMaxWaitDivisor;
  const Duration wait =
    std::min(maxWait, std::max<Duration>(kMinQueueWait, aServiceTime.mMean));
  const TimePoint standingQueueAt = aTimes.mNonEmptySince + kStandingQueueAge;
  return std::min(LatestStart(aServiceTime, aDeadline),
                  std::max(aTimes.mArrivedAt + wait, standingQueueAt));
}

Duration
ExpectedWait(const PoolState& aState, size_t aAhead)
{
  const auto position = static_cast<int64_t>(aAhead + 1);
  const Duration wait =
    aState.mService.mMean * position / std::max(1U, aState.mCapacity);
  return std::max<Duration>(wait, kMinRetryAfter);
}

} // namespace hibiscushold
