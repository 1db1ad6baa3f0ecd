#pragma once

#include "core/clock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold {

/// What a node's own connections show of its way to the targets.
enum class Reach
{
  Full,
  OpenConnectionsOnly, ///< targets answer, but accept no new connection
  None,                ///< nothing comes from any target
};

/// What connections to targets have shown.
struct ReachEvidence
{
  TimePoint mConnectedAt;    ///< when a new connection was last accepted
  TimePoint mAnsweredAt;     ///< when something was last received
  size_t mFailedTargets = 0; ///< that lately refused one, since mConnectedAt
};

/// Targets that are dead or slow don't look like a cut, as others accept
/// connections meanwhile.
Reach
AssessReach(const ReachEvidence& aEvidence, TimePoint aNow);

/// Collects the evidence. Thread-safe.
class TargetReach
{
public:
  explicit TargetReach(TimePoint aNow);

  /// A target has accepted a new connection.
  void RecordConnected(TimePoint aNow);
  /// A new connection to the target has failed.
  void RecordConnectFailure(const std::string& aVmId, TimePoint aNow);
  /// A part of a response has arrived.
  void RecordAnswer(TimePoint aNow);

  Reach Assess(TimePoint aNow) const;

private:
  std::atomic<TimePoint> mAnsweredAt;
  mutable std::mutex mLock; ///< guards the members below
  TimePoint mConnectedAt;
  std::map<std::string, TimePoint> mFailedAt; ///< by target
};

} // namespace hibiscushold
