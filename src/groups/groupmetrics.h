#pragma once

#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "config/agent.h"
#include "groups/probetable.h"
#include "observe/metrics.h"

namespace hibiscushold {

/// Publishes the state of the groups as metrics and accumulates their downtime.
/// Not thread-safe.
class GroupMetrics
{
public:
  struct Dependencies
  {
    const ViewWatcher& mViews;
    const VmList& mVms;
    const ProbeTable& mProbes;
    const ConfigAgent& mConfig;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  GroupMetrics(Dependencies aDependencies, Duration aMaxProbeAge);

  /// Counts the groups, adds the downtime since the last call and sets the
  /// gauges.
  void Step();

private:
  Dependencies mDependencies;
  const Duration mMaxProbeAge;
  TimePoint mLastStepAt;
  /// Seconds of downtime, summed over the copies that the rules require.
  double mDowntimeSeconds = 0;
};

} // namespace hibiscushold
