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
  return it == shard.mLoads.end() ? TargetLoad{} : it->second;
}

void
TargetLoads::Begin(const std::string& aTarget, TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  if (load.mInFlight++ == 0) {
    load.mBusySince = aNow;
  }
}

void
TargetLoads::End(const std::string& aTarget, bool aStreaming)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  --load.mInFlight;
  load.mStreaming -= aStreaming ? 1 : 0;
}

void
TargetLoads::NoteFirst(const std::string& aTarget,
                       Duration aFirstWait,
                       TimePoint aNow)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  TargetLoad& load = shard.mLoads[aTarget];
  const auto wait = static_cast<double>(ToMillis(aFirstWait));
  load.mFirstMillis += kNewest * (wait - load.mFirstMillis);
  load.mFirstAt = aNow;
  load.mLastProgress = aNow;
  ++load.mStreaming;
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
  const uint32_t doublings = std::min(load.mFailuresInRow, kMostDoublings);
  ++load.mFailuresInRow;
  load.mAvoidUntil =
    std::max(load.mAvoidUntil, aNow + kFirstAvoid * (1U << doublings));
}

void
TargetLoads::NoteSuccess(const std::string& aTarget)
{
  Shard& shard = ShardOf(aTarget);
  const std::lock_guard guard(shard.mLock);
  shard.mLoads[aTarget].mFailuresInRow = 0;
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
