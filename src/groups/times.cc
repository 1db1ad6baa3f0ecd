#include "groups/times.h"

#include <algorithm>

namespace hibiscushold {

VmTimes
UpdateVmTimes(const VmTimes& aTimes,
              const Vm& aVm,
              const std::optional<Sighting>& aProbe,
              TimePoint aNow,
              Duration aMaxGap)
{
  VmTimes times = aTimes;
  if (times.mIncarnation != aVm.mIncarnation) {
    times = VmTimes{};
    times.mFresh = !aTimes.mIncarnation.empty();
    times.mIncarnation = aVm.mIncarnation;
    times.mFirstListedAt = aNow;
  }
  if (aVm.mState != VmState::Leaving) {
    times.mLeavingSince.reset();
  } else if (!times.mLeavingSince) {
    times.mLeavingSince = aNow;
  }
  if (!aProbe || aProbe->mStatus.mIncarnation != aVm.mIncarnation ||
      aProbe->mAskedAt <= times.mLastAskedAt) {
    return times;
  }
  const bool gap = aProbe->mAskedAt > times.mLastAskedAt + aMaxGap;
  times.mLastAskedAt = aProbe->mAskedAt;
  const bool reportsGroup = !aProbe->mStatus.mGroup.empty();
  if (reportsGroup || gap) {
    times.mFreeSince.reset();
  }
  times.mFresh = times.mFresh && !reportsGroup;
  // A status requested before the release was accepted may be outdated.
  const bool afterRelease =
    times.mReleaseAcceptedAt && aProbe->mAskedAt >= *times.mReleaseAcceptedAt;
  if (!reportsGroup && afterRelease && !times.mFreeSince) {
    times.mFreeSince = aProbe->mAskedAt;
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
IsSeen(const ObservedVm& aVm, TimePoint aNow, Duration aMaxAge)
{
  return aVm.mLastProbe && aNow < aVm.mLastProbe->mAskedAt + aMaxAge &&
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
