#pragma once

#include "fleet/vm.h"

#include <span>
#include <string_view>

namespace hibiscushold {

/// Ends the lapse of a VM once the list is settled, and not by time.
inline constexpr TimePoint kUntilSettled = TimePoint::max();
/// A VM whose entry goes after the store is available again has probably left.
/// It gets no new work from about this time on.
inline constexpr auto kMaxUnsettledLapse = milliseconds(1200);

/// What a node knows when an entry has gone from the list.
struct LapseEvidence
{
  TimePoint mNow;
  TimePoint mListedAt; ///< when the list was last known to be current before
  /// How long a VM serves after its entry went; 0: it must get no request then.
  Duration mLeaveBound{};
  bool mIsSettled = true; ///< whether the list was current and complete
  /// Whether the entry may have expired while the store was unavailable.
  bool mWasStoreDown = false;
};

/// Decides how a VM whose entry has gone is kept. One that is leaving gets no
/// time.
/// @return its lapse, or none if the VM is gone
std::optional<VmLapse>
FindLapse(const FleetVm& aVm, const LapseEvidence& aEvidence);

/// @param aPrefix of the keys of VMs
/// @param aIsFull whether the listing has all entries, not only changes
/// @return the ids of VMs whose entries have gone
std::vector<std::string>
FindRemoved(const FleetVms& aVms,
            const Listing& aListing,
            std::string_view aPrefix,
            bool aIsFull);

/// Keeps VMs whose entries have gone for a time, or removes them. Those that
/// are kept already stay so.
void
LapseOrRemove(FleetVms& aVms,
              std::span<const std::string> aIds,
              const LapseEvidence& aEvidence);

/// Applies the deadlines that have passed: VMs turn to leaving, or are removed.
void
ApplyLapses(FleetVms& aVms, TimePoint aNow);

/// Removes the VMs that were kept until the list is settled.
void
DropUnsettled(FleetVms& aVms);

/// @return whether any VM is kept until the list is settled
bool
AwaitSettling(const FleetVms& aVms);

/// @return when ApplyLapses next changes the VMs; TimePoint::max() if it
///         doesn't
TimePoint
NextLapseChange(const FleetVms& aVms);

/// Adds the VMs that are missing from a list which was read directly, and that
/// a node keeps, or would keep, for a time.
/// @param aKnown the node's own list
void
AddLapsed(FleetVms& aListed,
          const FleetVms& aKnown,
          const LapseEvidence& aEvidence);

} // namespace hibiscushold
