#include "fleet/targetloads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscushold {

namespace {

/// Weight of the newest wait for a first event in the moving average.
constexpr double kWaitAverageWeight = 0.3;
/// Events with a shorter gap belong to the same pass of the engine.
constexpr double kSamePassGapMillis = 6;
/// Weight of the newest gap between events, as TCP uses for round-trip times.
constexpr double kGapAverageWeight = 0.125;
/// A gap up to this many mean deviations above the average is usual.
constexpr double kUsualDeviations = 8;
constexpr double kSingleStreamFactor = 1.6;
/// A target is avoided for this time after a failure. The time doubles with
/// each consecutive failure, at most kMaxDoublings times.
constexpr auto kInitialAvoidTime = milliseconds(200);
constexpr uint32_t kMaxDoublings = 3;
/// Initial time to avoid a full target. It is short, as the first rejection may
/// be due to a short peak; a full target has a free slot again after about the
/// duration of a request.
constexpr auto kInitialFullAvoidTime = milliseconds(60);
/// A target without requests is reported as idle to other nodes for this long,
/// as single reports may be lost.
constexpr auto kReportAfterEnd = milliseconds(200);

/// @param aInRow consecutive occurrences before this one; incremented
void
ExtendAvoidance(TargetLoad& aLoad,
                milliseconds aInitial,
                uint32_t& aInRow,
                TimePoint aNow)
{
  const uint32_t doublings = std::min(aInRow, kMaxDoublings);
  ++aInRow;
  aLoad.mAvoidUntil =
    std::max(aLoad.mAvoidUntil, aNow + aInitial * (1U << doublings));
}

} // namespace

TimePoint
EndOfAvoidance(const TargetLoad& aLoad)
{
  return std::max(aLoad.mAvoidUntil, aLoad.mAvoidStalledUntil);
}

bool
IsStalled(const TargetLoad& aLoad, TimePoint aNow, const StallLimits& aLimits)
{
  if (aLoad.mInFlight == 0) {
    return false;
  }
  const TimePoint since = std::max(aLoad.mBusySince, aLoad.mLastProgress);
  const milliseconds limit =
    aLoad.mStreaming > 0 ? UsualPause(aLoad, aLimits) : aLimits.mWaiting;
  return aNow - since > limit;
}

milliseconds
UsualPause(const TargetLoad& aLoad, const StallLimits& aLimits)
{
  // A single stream may pause because of a lost packet.
  const double factor = aLoad.mStreaming > 1 ? 1 : kSingleStreamFactor;
  const auto usual = static_cast<int64_t>(
    factor * (aLoad.mGapMillis + kUsualDeviations * aLoad.mGapDeviation));
  return std::clamp(milliseconds(usual), aLimits.mMin, aLimits.mMax);
}

TargetLoad
TargetLoads::Get(const std::string& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mLoads.find(aTarget);
  TargetLoad load = it == shard.mLoads.end() ? TargetLoad{} : it->second;
  load.mOthers = mAggregator.DemandOfOthers(aTarget);
  return load;
}

Demands
TargetLoads::OwnDemands(TimePoint aNow) const
{
  Demands own;
  for (const Shard& shard : mShards) {
    const std::lock_guard guard(shard.mLock);
    for (const auto& [vm, load] : shard.mLoads) {
      if (load.mInFlight > 0 || aNow - load.mChangedAt < kReportAfterEnd) {
        own[vm] = { load.mInFlight - load.mStreaming,
                    load.mWaitingTokens,
                    load.mStreaming,
                    load.mLastProgress,
                    load.mDelayedTokens };
      }
    }
  }
  return own;
}

void
TargetLoads::Begin(const std::string& aTarget,
                   TimePoint aNow,
                   uint64_t aTokens,
                   bool aIsDelayed)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  if (load.mInFlight++ == 0) {
    load.mBusySince = aNow;
  }
  load.mWaitingTokens += aTokens;
  load.mDelayedTokens += aIsDelayed ? aTokens : 0;
  load.mChangedAt = aNow;
}

void
TargetLoads::End(const std::string& aTarget,
                 bool aStreaming,
                 TimePoint aNow,
                 uint64_t aTokens,
                 bool aIsDelayed)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  --load.mInFlight;
  load.mStreaming -= aStreaming ? 1 : 0;
  load.mWaitingTokens -= aStreaming ? 0 : aTokens;
  load.mDelayedTokens -= aIsDelayed && !aStreaming ? aTokens : 0;
  load.mChangedAt = std::max(load.mChangedAt, aNow);
}

void
TargetLoads::RecordFirstEvent(const std::string& aTarget,
                              std::optional<Duration> aFirstWait,
                              TimePoint aNow,
                              uint64_t aTokens,
                              bool aIsDelayed)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  if (aFirstWait) {
    const auto wait = static_cast<double>(ToMillis(*aFirstWait));
    load.mFirstEventMillis +=
      kWaitAverageWeight * (wait - load.mFirstEventMillis);
    load.mFirstEventAt = aNow;
  }
  load.mLastProgress = aNow;
  load.mAvoidStalledUntil = {};
  ++load.mStreaming;
  load.mWaitingTokens -= aTokens;
  load.mDelayedTokens -= aIsDelayed ? aTokens : 0;
  load.mChangedAt = aNow;
}

void
TargetLoads::RecordProgress(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  const auto gap = static_cast<double>(ToMillis(aNow - load.mLastProgress));
  if (load.mStreaming > 0 && gap > kSamePassGapMillis) {
    const double deviation = gap - load.mGapMillis;
    load.mGapMillis += kGapAverageWeight * deviation;
    load.mGapDeviation +=
      kGapAverageWeight * (std::abs(deviation) - load.mGapDeviation);
  }
  load.mLastProgress = aNow;
  load.mAvoidStalledUntil = {};
}

void
TargetLoads::RecordFailure(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  ExtendAvoidance(load, kInitialAvoidTime, load.mFailuresInRow, aNow);
}

void
TargetLoads::RecordRejection(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  ExtendAvoidance(load, kInitialFullAvoidTime, load.mRejectionsInRow, aNow);
}

void
TargetLoads::RecordSuccess(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  load.mFailuresInRow = 0;
  load.mRejectionsInRow = 0;
}

void
TargetLoads::AvoidUntil(const std::string& aTarget, TimePoint aUntil)
{
  Extend(aTarget, &TargetLoad::mAvoidUntil, aUntil);
}

void
TargetLoads::AvoidStalledUntil(const std::string& aTarget, TimePoint aUntil)
{
  Extend(aTarget, &TargetLoad::mAvoidStalledUntil, aUntil);
}

void
TargetLoads::RecordQuiet(const std::string& aTarget, TimePoint aUntil)
{
  Extend(aTarget, &TargetLoad::mQuietUntil, aUntil);
}

bool
TargetLoads::TryTakeColdTurn(const std::string& aTarget,
                             TimePoint aNow,
                             TimePoint aNext)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  if (load.mNextColdTurnAt > aNow) {
    return false;
  }
  load.mNextColdTurnAt = aNext;
  return true;
}

void
TargetLoads::RecordLeaving(const std::string& aTarget, uint64_t aStartedMillis)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  shard.mLoads[aTarget].mLeavingStart = aStartedMillis;
}

bool
TargetLoads::RecordBadHeader(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  return !std::exchange(shard.mLoads[aTarget].mSentBadHeader, true);
}

void
TargetLoads::Extend(const std::string& aTarget,
                    TimePoint TargetLoad::*aEnd,
                    TimePoint aUntil)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TimePoint& end = shard.mLoads[aTarget].*aEnd;
  end = std::max(end, aUntil);
}

TargetLoads::Shard&
TargetLoads::ShardOf(const std::string& aTarget)
{
  return mShards[std::hash<std::string>()(aTarget) % kShards];
}

const TargetLoads::Shard&
TargetLoads::ShardOf(const std::string& aTarget) const
{
  return mShards[std::hash<std::string>()(aTarget) % kShards];
}

} // namespace hibiscushold
