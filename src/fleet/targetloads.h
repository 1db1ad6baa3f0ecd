#pragma once

#include "core/clock.h"
#include "fleet/demandaggregator.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace hibiscushold {

/// Load of a target: measured from this node's requests, plus the demand of
/// other nodes.
struct TargetLoad
{
  TargetDemand mOthers;
  uint64_t mWaitingTokens = 0; ///< of prompts of requests without an event yet
  uint64_t mDelayedTokens = 0; ///< of these, of delayed requests
  TimePoint mChangedAt;        ///< last start, first event or end of a request
  uint32_t mInFlight = 0;
  uint32_t mStreaming = 0; ///< of mInFlight, streams that have had an event
  TimePoint mBusySince;    ///< when the target last went from idle to busy
  TimePoint mLastProgress; ///< when a response byte last arrived
  TimePoint mAvoidUntil;   ///< not chosen for new requests before this
  TimePoint mAvoidStalledUntil; ///< likewise, unless a response byte arrives
  TimePoint mQuietUntil;     ///< the target asked for no requests before this
  TimePoint mNextColdTurnAt; ///< while it is cold, gets no request before this
  /// Start of the VM that announced its leaving, Unix time in milliseconds.
  std::optional<uint64_t> mLeavingStart;
  bool mSentBadHeader = false;
  uint32_t mFailuresInRow = 0;   ///< consecutive failures
  uint32_t mRejectionsInRow = 0; ///< consecutive rejections as full
  double mGapMillis = 0;         ///< moving average of times between events
  double mGapDeviation = 0; ///< moving average of deviations from mGapMillis
  double mFirstEventMillis = 0; ///< moving average of waits for first events
  TimePoint mFirstEventAt;      ///< when mFirstEventMillis was last updated
};

/// @return when this node stops avoiding the target for new requests; the
/// target
///         may ask for quiet for longer
TimePoint
EndOfAvoidance(const TargetLoad& aLoad);

/// Limits of the time without any response byte after which a target that has
/// requests counts as stalled.
struct StallLimits
{
  milliseconds mMin{ 400 };     ///< while a stream runs
  milliseconds mMax{ 500 };     ///< while a stream runs
  milliseconds mWaiting{ 800 }; ///< while all requests wait for a first event
};

/// @return the longest usual pause of the target's streams, derived from the
///         measured gaps and clamped to the limits
milliseconds
UsualPause(const TargetLoad& aLoad, const StallLimits& aLimits);

/// @return whether none of this node's requests at the target makes progress
bool
IsStalled(const TargetLoad& aLoad, TimePoint aNow, const StallLimits& aLimits);

/// The loads of all targets. Thread-safe; sharded, with a lock for each shard.
class TargetLoads
{
public:
  TargetLoad Get(const std::string& aTarget) const;

  /// @return the demands of this node's requests; targets that became idle a
  ///         short time ago are included with a demand of zero
  Demands OwnDemands(TimePoint aNow) const;

  /// The demands of other nodes.
  DemandAggregator& Aggregator() { return mAggregator; }

  /// Records that a request is sent to the target.
  /// @param aTokens prompt tokens of the request
  /// @param aIsDelayed the target serves others first
  void Begin(const std::string& aTarget,
             TimePoint aNow,
             uint64_t aTokens = 0,
             bool aIsDelayed = false);
  /// Records the end of a request.
  /// @param aStreaming whether the request has had its first event
  /// @param aTokens as passed to Begin
  /// @param aIsDelayed likewise
  void End(const std::string& aTarget,
           bool aStreaming,
           TimePoint aNow = {},
           uint64_t aTokens = 0,
           bool aIsDelayed = false);

  /// Records the first event of a request.
  /// @param aFirstWait time from sending the request to its first event; none
  ///                   if it is not to change the average
  /// @param aTokens as passed to Begin
  /// @param aIsDelayed likewise
  void RecordFirstEvent(const std::string& aTarget,
                        std::optional<Duration> aFirstWait,
                        TimePoint aNow,
                        uint64_t aTokens = 0,
                        bool aIsDelayed = false);
  void RecordProgress(const std::string& aTarget, TimePoint aNow);

  /// Records a failure. The target is avoided for a time that doubles with each
  /// consecutive failure, up to a maximum.
  void RecordFailure(const std::string& aTarget, TimePoint aNow);
  /// Records that the target rejected a request because it was full. It is
  /// avoided for a time that doubles with each consecutive rejection, up to a
  /// maximum, as its fast rejections would otherwise attract requests.
  void RecordRejection(const std::string& aTarget, TimePoint aNow);
  void RecordSuccess(const std::string& aTarget);
  void AvoidUntil(const std::string& aTarget, TimePoint aUntil);
  /// Like AvoidUntil, but ends as soon as the target makes progress.
  void AvoidStalledUntil(const std::string& aTarget, TimePoint aUntil);

  /// Records that the target asked for no requests before aUntil.
  void RecordQuiet(const std::string& aTarget, TimePoint aUntil);
  /// Takes the turn for a request to a cold target, unless the next one is
  /// later than aNow.
  /// @param aNext time of the next turn
  /// @return whether the request may be sent
  bool TryTakeColdTurn(const std::string& aTarget,
                       TimePoint aNow,
                       TimePoint aNext);
  /// Records that the target announced its leaving. A later start of the VM
  /// under the same id is not affected.
  /// @param aStartedMillis start of the VM, Unix time in milliseconds
  void RecordLeaving(const std::string& aTarget, uint64_t aStartedMillis);
  /// Records that the target sent an invalid header.
  /// @return whether it is the first one, which is to be logged
  bool RecordBadHeader(const std::string& aTarget);

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, TargetLoad> mLoads;
  };

  /// Moves the end of a time of the target to aUntil, unless it is later.
  void Extend(const std::string& aTarget,
              TimePoint TargetLoad::*aEnd,
              TimePoint aUntil);

  Shard& ShardOf(const std::string& aTarget);
  const Shard& ShardOf(const std::string& aTarget) const;

  std::array<Shard, kShards> mShards;
  DemandAggregator mAggregator;
};

} // namespace hibiscushold
