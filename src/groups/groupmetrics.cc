#include "groups/groupmetrics.h"

#include "groups/tally.h"

namespace hibiscushold {

GroupMetrics::GroupMetrics(Dependencies aDependencies, Duration aMaxProbeAge)
  : mDependencies(aDependencies)
  , mMaxProbeAge(aMaxProbeAge)
  , mLastStepAt(aDependencies.mClock.Now())
{
}

void
GroupMetrics::Step()
{
  const TimePoint now = mDependencies.mClock.Now();
  const GroupTally tally = TallyGroups(mDependencies.mConfig.Active()->mRules,
                                       *mDependencies.mViews.View(),
                                       *mDependencies.mVms.Vms(),
                                       mDependencies.mProbes,
                                       now,
                                       mMaxProbeAge);
  const std::chrono::duration<double> elapsed = now - mLastStepAt;
  mDowntimeSeconds += tally.mMissing * elapsed.count();
  mLastStepAt = now;
  mDependencies.mMetrics.SetGauge("groups_serving", tally.mServing);
  mDependencies.mMetrics.SetGauge("groups_missing", tally.mMissing);
  mDependencies.mMetrics.SetGauge("vms_stranded", tally.mStranded);
  mDependencies.mMetrics.SetGauge("group_downtime_seconds", mDowntimeSeconds);
}

} // namespace hibiscushold
