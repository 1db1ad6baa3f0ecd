#pragma once

#include "core/clock.h"
#include "fleet/vm.h"
#include "placement/orders.h"

#include <optional>

namespace hibiscushold {

/// What a planner knows of the membership of one life of a VM. The VM's entry
/// may be older, as the store may lose a write or execute it late, or may be
/// another writer's.
struct MembershipFacts
{
  std::optional<GroupMembership> mGroup; ///< that the VM is in; none if unknown
  GroupKey mLeft;   ///< the group that it left by an order of this planner
  GroupKey mClosed; ///< the group that it was ordered to close, as its head
  /// Whether an order or a report of this planner's lease shows in which group
  /// the VM is. Only then it may join another one.
  bool mIsProven = false;
  /// Whether an order of this lease had a response, after which the VM refuses
  /// those of earlier leases.
  bool mIsFenced = false;
  /// Orders that the VM has carried out, if its report tells and none was sent
  /// since. Joins state it, so that one is refused if another order came first.
  std::optional<uint64_t> mOrderCount;
  /// Whether the entry shows less than mGroup, such as a head that doesn't
  /// serve yet, or an earlier life, which no order of this planner explains.
  bool mIsDoubted = false;
  TimePoint mAskSince; ///< when a report was first wanted; zero if none is
};

/// @return the facts of a VM that nobody can have ordered anything, unless the
///         VM refuses the first order
MembershipFacts
FactsOfNewVm();

/// Compares the facts with the VM's entry. Groups are formed with rising
/// epochs, and a VM refuses to join one with a lower epoch, so an entry is
/// newer than the facts if its group's epoch is higher.
void
RecordEntry(MembershipFacts& aFacts, const FleetVm& aVm);

/// Records the outcome of an order to the VM.
void
RecordOrder(MembershipFacts& aFacts,
            const FleetOrder& aOrder,
            OrderOutcome aOutcome);

/// Records what the VM reports of itself.
void
RecordReport(MembershipFacts& aFacts, const EngineReport& aReport);

} // namespace hibiscushold
