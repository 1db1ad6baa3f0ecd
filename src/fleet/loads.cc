#include "fleet/loads.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Weight of the newest wait in the moving average.
constexpr double kNewest = 0.3;
/// Events that come closer than this belong to one pass of the engine.
constexpr double kOnePassMillis = 6;
/// Weight of the newest gap between events, as for round-trip times in TCP.
constexpr double kNewestGap = 0.125;
/// Deviations from the mean that are still usual.
constexpr double kDeviations = 8;
constexpr double kAloneFactor = 1.6;
/// A target that failed once is avoided for so long, doubled with each
/// failure in a row up to the longest.
constexpr auto kFirstAvoid = milliseconds(200);
constexpr uint32_t kMostDoublings = 3;
/// A full target has a place again after about a request's time; the first
/// answer may have met a short peak.
constexpr auto kFullAvoid = milliseconds(60);
/// Others are told for so long that a target is idle, as a report may be lost.
constexpr auto kToldAfterEnd = milliseconds(200);

/// @param aInRow times in a row before this one; counted up
void
AvoidLonger(TargetLoad& aLoad,
            milliseconds aFirst,
            uint32_t& aInRow,
            TimePoint aNow)
{
  const uint32_t doublings = std::min(aInRow, kMostDoublings);
  ++aInRow;
  aLoad.mAvoidUntil =
    std::max(aLoad.mAvoidUntil, aNow + aFirst * (1U << doublings));
}

} // namespace

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
  // One stream alone may pause for a packet that was lost.
  const double factor = aLoad.mStreaming > 1 ? 1 : kAloneFactor;
  const auto usual = static_cast<int64_t>(
    factor * (aLoad.mGapMillis + kDeviations * aLoad.mGapSpread));
  return std::clamp(milliseconds(usual), aLimits.mLeast, aLimits.mMost);
}

TargetLoad
TargetLoads::Get(const std::string& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  const auto it = shard.mLoads.find(aTarget);
  TargetLoad load = it == shard.mLoads.end() ? TargetLoad{} : it->second;
  load.mOthers = mBoard.Others(aTarget);
  return load;
}

Demands
TargetLoads::Own(TimePoint aNow) const
{
  Demands own;
  for (const Shard& shard : mShards) {
    const std::lock_guard guard(shard.mLock);
    for (const auto& [vm, load] : shard.mLoads) {
      if (load.mInFlight > 0 || aNow - load.mChangedAt < kToldAfterEnd) {
        own[vm] = { load.mInFlight - load.mStreaming,
                    load.mWaitingTokens,
                    load.mStreaming,
                    load.mLastProgress };
      }
    }
  }
  return own;
}

void
TargetLoads::Begin(const std::string& aTarget, TimePoint aNow, uint64_t aTokens)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  if (load.mInFlight++ == 0) {
    load.mBusySince = aNow;
  }
  load.mWaitingTokens += aTokens;
  load.mChangedAt = aNow;
}

void
TargetLoads::End(const std::string& aTarget,
                 bool aStreaming,
                 TimePoint aNow,
                 uint64_t aTokens)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  --load.mInFlight;
  load.mStreaming -= aStreaming ? 1 : 0;
  load.mWaitingTokens -= aStreaming ? 0 : aTokens;
  load.mChangedAt = std::max(load.mChangedAt, aNow);
}

void
TargetLoads::NoteFirst(const std::string& aTarget,
                       Duration aFirstWait,
                       TimePoint aNow,
                       uint64_t aTokens)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  const auto wait = static_cast<double>(ToMillis(aFirstWait));
  load.mFirstMillis += kNewest * (wait - load.mFirstMillis);
  load.mFirstAt = aNow;
  load.mLastProgress = aNow;
  ++load.mStreaming;
  load.mWaitingTokens -= aTokens;
  load.mChangedAt = aNow;
}

void
TargetLoads::NoteProgress(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  const auto gap = static_cast<double>(ToMillis(aNow - load.mLastProgress));
  if (load.mStreaming > 0 && gap > kOnePassMillis) {
    const double off = gap - load.mGapMillis;
    load.mGapMillis += kNewestGap * off;
    load.mGapSpread += kNewestGap * (std::abs(off) - load.mGapSpread);
  }
  load.mLastProgress = aNow;
}

void
TargetLoads::NoteFailure(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  AvoidLonger(load, kFirstAvoid, load.mFailuresInRow, aNow);
}

void
TargetLoads::NoteFull(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  AvoidLonger(load, kFullAvoid, load.mFullInRow, aNow);
}

void
TargetLoads::NoteSuccess(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  load.mFailuresInRow = 0;
  load.mFullInRow = 0;
}

void
TargetLoads::Avoid(const std::string& aTarget, TimePoint aUntil)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  load.mAvoidUntil = std::max(load.mAvoidUntil, aUntil);
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
