#include "groups/vmtimes.h"

#include <algorithm>

namespace hibiscushold {

VmTimes
UpdateVmTimes(const VmTimes& aTimes,
              const Vm& aVm,
              const std::optional<ProbeResult>& aProbe,
              TimePoint aNow,
              Duration aMaxGap)
{
  VmTimes times = aTimes;
  if (times.mIncarnation != aVm.mIncarnation) {
    times = VmTimes{};
    times.mUnassignedSinceRestart = !aTimes.mIncarnation.empty();
    times.mIncarnation = aVm.mIncarnation;
    times.mFirstListedAt = aNow;
  }
  if (aVm.mState != VmState::Leaving) {
    times.mLeavingSince.reset();
  } else if (!times.mLeavingSince) {
    times.mLeavingSince = aNow;
  }
  if (!aProbe || aProbe->mStatus.mIncarnation != aVm.mIncarnation ||
      aProbe->mProbedAt <= times.mLastProbedAt) {
    return times;
  }
  const bool gap = aProbe->mProbedAt > times.mLastProbedAt + aMaxGap;
  times.mLastProbedAt = aProbe->mProbedAt;
  const bool reportsGroup = !aProbe->mStatus.mGroup.empty();
  if (reportsGroup || gap) {
    times.mFreeSince.reset();
  }
  times.mUnassignedSinceRestart =
    times.mUnassignedSinceRestart && !reportsGroup;
  // A probe that was sent before the release was accepted may be outdated.
  const bool afterRelease =
    times.mReleaseAcceptedAt && aProbe->mProbedAt >= *times.mReleaseAcceptedAt;
  if (!reportsGroup && afterRelease && !times.mFreeSince) {
    times.mFreeSince = aProbe->mProbedAt;
  }
  return times;
}

void
RecordRelease(VmTimes& aTimes, const std::string& aGroup, TimePoint aNow)
{
  aTimes.mReleaseAcceptedAt = aNow;
  aTimes.mReleasedFrom = aGroup;
  aTimes.mFreeSince.reset();
}

bool
HasRecentProbe(const ObservedVm& aVm, TimePoint aNow, Duration aMaxAge)
{
  return aVm.mLastProbe && aNow < aVm.mLastProbe->mProbedAt + aMaxAge &&
         aVm.mLastProbe->mStatus.mIncarnation == aVm.mVm.mIncarnation;
}

const ObservedVm*
FindVm(std::span<const ObservedVm> aVms, std::string_view aVm)
{
  const auto it = std::find_if(aVms.begin(), aVms.end(), [&](auto& aObserved) {
    return aObserved.mVm.mId == aVm;
  });
  return it == aVms.end() ? nullptr : &*it;
}

} // namespace hibiscushold
