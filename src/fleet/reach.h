#pragma once

#include "core/clock.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// What a node's own connections show of its way to the targets.
enum class Reach
{
  Full,
  Partial, ///< few targets accept a connection, or only open ones still answer
  None,    ///< nothing comes from any target
};

/// How many of the targets that were tried accepted a connection.
struct ProbeRound
{
  size_t mAccepted = 0;
  size_t mFailed = 0;
};

/// Targets that are dead or slow don't look like a cut, as most others accept
/// connections meanwhile.
/// @param aLately sum of the latest rounds, whose targets were chosen at random
/// @return whether they show that the node is cut off, or all targets gone
bool
ShowsCut(const ProbeRound& aLately);

/// @return whether the round ends a cut; takes more than ShowsCut refutes
bool
EndsCut(const ProbeRound& aRound);

/// Collects the evidence of a node's reach. Failures and silence that requests
/// meet raise a suspicion; probes of targets from all services confirm or
/// refute it, and the reach of other nodes tells a cut from the loss of all
/// targets. Thread-safe.
class TargetReach
{
public:
  explicit TargetReach(TimePoint aNow);

  /// A new connection to the target has failed.
  void RecordConnectFailure(const std::string& aVmId, TimePoint aNow);
  /// A request was sent to a target.
  void RecordSent(TimePoint aNow);
  /// A part of a response has arrived.
  void RecordAnswer(TimePoint aNow);
  /// Some targets were probed.
  void RecordProbes(const ProbeRound& aRound, TimePoint aNow);

  /// Another node reaches the targets, so these have not gone.
  void RecordReachOfOthers(TimePoint aNow);

  /// @return whether the probes show a cut, or that the targets have gone
  bool FailsProbes() const { return mFailsProbes; }

  /// @return whether targets are to be probed
  bool NeedsProbes(TimePoint aNow) const;

  Reach Assess(TimePoint aNow) const;

private:
  struct TimedRound
  {
    ProbeRound mRound;
    TimePoint mAt;
  };

  std::atomic<TimePoint> mAnsweredAt;
  /// When a request was sent after which nothing has arrived.
  std::atomic<TimePoint> mWaitingSince{ TimePoint::max() };
  std::atomic<bool> mFailsProbes{ false };
  std::atomic<TimePoint> mOthersReachAt{ TimePoint{} };
  mutable std::mutex mLock;                   ///< guards the members below
  std::map<std::string, TimePoint> mFailedAt; ///< by target
  std::deque<TimedRound> mRounds;
};

} // namespace hibiscushold
