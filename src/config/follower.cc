#include "config/follower.h"

#include "config/acceptance.h"
#include "config/freshness.h"
#include "core/json.h"
#include "observe/events.h"

namespace hibiscushold {

ConfigFollower::ConfigFollower(ConfigAgent& aAgent,
                               ConfigCoordinator& aCoordinator,
                               const Clock& aClock,
                               Duration aMaxHeadAge)
  : mAgent(aAgent)
  , mCoordinator(aCoordinator)
  , mClock(aClock)
  , mMaxHeadAge(aMaxHeadAge)
{
}

void
ConfigFollower::OnView(const ClusterView& aView)
{
  mAgent.MergeHead(
    { aView.mHead.mVersion, aView.mHead.mValue, aView.mRequestedAt });
  ApplyAndStage();
}

void
ConfigFollower::OnStatus(const Json::Value& aStatus, TimePoint aRequestedAt)
{
  Result<ConfigHead> head = ParseHead(TextAt(aStatus, "head"));
  if (!head) {
    return;
  }
  const milliseconds age(NumberAt(aStatus, "head_age_ms"));
  const uint64_t before = mAgent.LatestHead().mObjectVersion;
  mAgent.MergeHead({ NumberAt(aStatus, "head_version"),
                     head.value(),
                     AnswerAsOf(aRequestedAt, mClock.Now(), age) });
  if (mAgent.LatestHead().mObjectVersion != before) {
    ApplyAndStage();
  }
}

void
ConfigFollower::ClearAbandonedChange(const ClusterView& aView, bool aPreferred)
{
  const Versioned<ConfigHead>& head = aView.mHead;
  const TimePoint now = mClock.Now();
  if (!head.mValue.mPending || head.mVersion != mPendingHeadVersion) {
    mPendingHeadVersion = head.mVersion;
    mPendingSince = now;
    return;
  }
  if (ShouldClearPending(now - mPendingSince, aPreferred, mMaxHeadAge)) {
    mCoordinator.ClearPending(head);
  }
}

/// Applies the accepted version of the latest known head and stages its pending
/// change.
void
ConfigFollower::ApplyAndStage()
{
  const ConfigHead head = mAgent.LatestHead().mHead;
  Result<void> applied = mAgent.ApplyAccepted(head);
  if (applied && head.mPending) {
    applied = mAgent.Stage(head.mPending->mTarget);
  }
  if (!applied) {
    LogEvent(EventId::ConfigUnreadable,
             { { "reason", Describe(applied.error()) } });
  }
}

} // namespace hibiscushold
