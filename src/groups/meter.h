#pragma once

#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "config/agent.h"
#include "groups/evidence.h"
#include "observe/metrics.h"

namespace hibiscushold {

/// Publishes the state of the groups as metrics and accumulates their downtime.
/// Not thread-safe.
class GroupMeter
{
public:
  struct Parts
  {
    const ViewWatcher& mViews;
    const VmList& mVms;
    const EvidenceTable& mEvidence;
    const ConfigAgent& mConfig;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  GroupMeter(Parts aParts, Duration aMaxProbeAge);

  /// Counts the groups, adds the downtime since the last call and sets the
  /// gauges.
  void Step();

private:
  Parts mParts;
  const Duration mMaxProbeAge;
  TimePoint mLastStepAt;
  /// Seconds of downtime, summed over the copies that the rules require.
  double mDowntimeSeconds = 0;
};

} // namespace hibiscushold
