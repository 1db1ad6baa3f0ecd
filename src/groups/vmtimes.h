#pragma once

#include "groups/domain.h"
#include "groups/probetable.h"
#include "store/platform.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace hibiscushold {

/// Times that the lease holder tracks of one VM. They are not stored; a new
/// holder starts with an empty value.
struct VmTimes
{
  std::string mIncarnation;
  TimePoint mFirstListedAt; ///< when the incarnation was first listed
  TimePoint mLastProbedAt;  ///< when the latest probe was sent
  /// The VM restarted under this holder and has been in no group since, so that
  /// neither a stored group nor a probe result can refer to this incarnation.
  bool mUnassignedSinceRestart = false;
  /// Start of the current uninterrupted series of probes that were sent after
  /// the release and reported no group.
  std::optional<TimePoint> mFreeSince;
  /// When the engine accepted a release.
  std::optional<TimePoint> mReleaseAcceptedAt;
  std::string mReleasedFrom; ///< retiring group it was released from
  std::optional<TimePoint> mLeavingSince;
  std::optional<TimePoint> mOrderedAt; ///< when the last order was sent
};

/// Times that the lease holder tracks of one group.
struct GroupTimes
{
  GroupPhase mPhase = GroupPhase::Forming;
  uint64_t mGeneration = 0;
  TimePoint mPhaseSince;
  std::optional<TimePoint> mReleasedAt; ///< when all members were released
};

/// A listed VM of the domain with its latest probe result and its times.
struct ObservedVm
{
  Vm mVm;
  std::optional<ProbeResult> mLastProbe;
  VmTimes mTimes;
  /// Also listed in another domain, or a member of a group of another domain.
  bool mInOtherDomain = false;
};

/// Updates a VM's times from its listing and its latest probe result.
/// @param aTimes the previous times, or an empty value
/// @param aMaxGap a longer gap between probes resets mFreeSince
VmTimes
UpdateVmTimes(const VmTimes& aTimes,
              const Vm& aVm,
              const std::optional<ProbeResult>& aProbe,
              TimePoint aNow,
              Duration aMaxGap);

/// Records that the engine accepted a release order.
/// @param aGroup the retiring group, or empty for a VM of no group
void
RecordRelease(VmTimes& aTimes, const std::string& aGroup, TimePoint aNow);

/// @return whether the VM was probed successfully with its listed incarnation
///         less than aMaxAge before aNow
bool
HasRecentProbe(const ObservedVm& aVm, TimePoint aNow, Duration aMaxAge);

/// @return the VM with that id, or null
const ObservedVm*
FindVm(std::span<const ObservedVm> aVms, std::string_view aVm);

} // namespace hibiscushold
