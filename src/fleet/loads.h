#pragma once

#include "core/clock.h"
#include "fleet/demand.h"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// What this node knows of a target from its own requests, and what others
/// ask of it.
struct TargetLoad
{
  TargetDemand mOthers;
  uint64_t mWaitingTokens = 0; ///< prompts of requests without an event yet
  TimePoint mChangedAt;        ///< when a request began or ended last
  uint32_t mInFlight = 0;
  uint32_t mStreaming = 0; ///< of these, streams that have had an event
  TimePoint mBusySince;    ///< start of the oldest time without a pause
  TimePoint mLastProgress; ///< last byte of any answer
  TimePoint mAvoidUntil;   ///< takes no new request before this
  uint32_t mFailuresInRow = 0;
  uint32_t mFullInRow = 0;
  double mGapMillis = 0;   ///< moving average of the times between events
  double mGapSpread = 0;   ///< moving average of their deviations
  double mFirstMillis = 0; ///< moving average of waits for a first event
  TimePoint mFirstAt;      ///< when the average was last renewed
};

/// Bounds of the time without any byte after which a target that has work
/// counts as standing still.
struct StallLimits
{
  milliseconds mLeast{ 400 };   ///< while a stream runs
  milliseconds mMost{ 500 };    ///< while a stream runs
  milliseconds mWaiting{ 800 }; ///< all wait for their first event
};

/// @return the longest pause that is usual for the target's streams, within
///         the limits
milliseconds
UsualPause(const TargetLoad& aLoad, const StallLimits& aLimits);

/// @return whether all that the target was given stands still
bool
IsStalled(const TargetLoad& aLoad, TimePoint aNow, const StallLimits& aLimits);

/// The loads of all targets, in shards under a lock each.
class TargetLoads
{
public:
  TargetLoad Get(const std::string& aTarget) const;

  /// @return what this node's own requests ask of the targets; ones that they
  ///         left lately are among them
  Demands Own(TimePoint aNow) const;

  /// The demands of other nodes.
  DemandBoard& Board() { return mBoard; }

  /// @param aTokens of the request's prompt
  void Begin(const std::string& aTarget, TimePoint aNow, uint64_t aTokens = 0);
  /// @param aTokens as given to Begin
  void End(const std::string& aTarget,
           bool aStreaming,
           TimePoint aNow = {},
           uint64_t aTokens = 0);

  /// @param aFirstWait time from the send to the first event
  /// @param aTokens as given to Begin
  void NoteFirst(const std::string& aTarget,
                 Duration aFirstWait,
                 TimePoint aNow,
                 uint64_t aTokens = 0);
  void NoteProgress(const std::string& aTarget, TimePoint aNow);

  /// Notes a failure; the target is avoided for longer with each in a row.
  void NoteFailure(const std::string& aTarget, TimePoint aNow);
  /// Notes that the target was full; it is left alone for longer with each
  /// such answer in a row, as its quick refusals would draw requests.
  void NoteFull(const std::string& aTarget, TimePoint aNow);
  void NoteSuccess(const std::string& aTarget);
  void Avoid(const std::string& aTarget, TimePoint aUntil);

private:
  static constexpr size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mLock;
    std::map<std::string, TargetLoad> mLoads;
  };

  Shard& ShardOf(const std::string& aTarget);
  const Shard& ShardOf(const std::string& aTarget) const;

  std::array<Shard, kShards> mShards;
  DemandBoard mBoard;
};

} // namespace hibiscushold
