#include "groups/meter.h"

#include "groups/tally.h"

namespace hibiscushold {

GroupMeter::GroupMeter(Parts aParts, Duration aMaxProbeAge)
  : mParts(aParts)
  , mMaxProbeAge(aMaxProbeAge)
  , mLastStepAt(aParts.mClock.Now())
{
}

void
GroupMeter::Step()
{
  const TimePoint now = mParts.mClock.Now();
  const GroupTally tally = TallyGroups(mParts.mConfig.Active()->mRules,
                                       *mParts.mViews.View(),
                                       *mParts.mVms.Vms(),
                                       mParts.mEvidence,
                                       now,
                                       mMaxProbeAge);
  const std::chrono::duration<double> elapsed = now - mLastStepAt;
  mDowntimeSeconds += tally.mMissing * elapsed.count();
  mLastStepAt = now;
  mParts.mMetrics.SetGauge("groups_serving", tally.mServing);
  mParts.mMetrics.SetGauge("groups_missing", tally.mMissing);
  mParts.mMetrics.SetGauge("vms_stranded", tally.mStranded);
  mParts.mMetrics.SetGauge("group_downtime_seconds", mDowntimeSeconds);
}

} // namespace hibiscushold
