#pragma once

#include "fleet/config.h"
#include "fleet/silence.h"
#include "fleet/vm.h"
#include "fleet/zonesout.h"
#include "placement/membershipfacts.h"
#include "placement/orders.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscushold {

/// An order whose effect is not visible is repeated after this time. Orders
/// that are not lost take effect within milliseconds.
inline constexpr auto kOrderRepeatInterval = milliseconds(450);

/// Time limits of the planner.
struct PlannerLimits
{
  /// A group that lost a VM breaks down within this time.
  milliseconds mStallTimeout{ 6000 };
};

/// The planner's state of a VM, in addition to the VM's entry in the platform's
/// list.
struct PlannedVm
{
  uint64_t mStartedMillis = 0; ///< of its latest known life
  uint64_t mListedMillis = 0;  ///< start as the entry states it
  Endpoint mAddress;
  TimePoint mLockedUntil;  ///< its previous group may still serve before then
  std::string mLockedHead; ///< head of that group, empty if unknown
  GroupKey mLockedGroup;   ///< that group
  bool mHasLeft = false;   ///< it confirmed an order to leave mLockedGroup
  MembershipFacts mFacts;
  TimePoint mRepeatLeaveAt;  ///< no order to leave is repeated before then
  std::string mLoadingModel; ///< loaded from the weight store, or empty
  TimePoint mLoadingUntil;   ///< estimated end of that load
  VmSilence mSilence;
  std::string mLastStartedModel; ///< in its last group since its start
};

/// How far the planner has brought a group.
enum class GroupStage
{
  Forming, ///< the members were ordered to join
  Serving, ///< the head was ordered to open, or found open
  Closing, ///< the head was ordered to finish its requests
  Leaving, ///< the head was ordered to leave
};

/// A group that the planner created or found among the VMs.
struct PlannedGroup
{
  std::string mModel;
  std::string mDomain;
  std::vector<std::string> mMembers; ///< by rank, the head first
  GroupStage mStage = GroupStage::Forming;
  TimePoint mDeadline;      ///< the stage is abandoned then
  TimePoint mRepeatOrderAt; ///< the stage's order is not repeated before then
  /// Whether all members of a group of an earlier lease have answered an order
  /// of this one.
  bool mIsFenced = false;
};

/// The planner's whole state. It starts empty with each lease and is rebuilt
/// from what the VMs report.
struct PlannerState
{
  uint64_t mFence = 0;
  uint64_t mLastEpoch = 0; ///< of the newest group; each new one is higher
  TimePoint mLastNewVmAt;  ///< when a new VM was last discovered
  std::map<std::string, PlannedVm> mVms;
  std::map<GroupKey, PlannedGroup> mGroups;
  /// Groups that were removed from the plan. They are not adopted before the
  /// given time, and afterwards only if their head serves.
  std::map<GroupKey, TimePoint> mDissolved;
  /// Groups whose head could not be reached to make it leave, with the id of
  /// the head, which is empty if the head was never listed. VMs that report to
  /// be members of such a group are not free.
  std::map<GroupKey, std::string> mUnreachableHeads;
  std::deque<TimePoint> mLoads; ///< start times of loads, the oldest first
  /// Whether a step has run. A VM that is listed later than the first step has
  /// had no orders of earlier leases.
  bool mHasRun = false;
};

/// The input of one planner step.
struct PlannerView
{
  const FleetVms& mVms;
  std::string mService;
  const EngineSpec& mEngine;
  /// No request was received yet; loads are fast, and their rate is not
  /// limited.
  bool mBeforeTraffic = false;
  const ZonesOut* mZones = nullptr; ///< zones out of service; null: none
};

/// @return whether the VM is in a zone out of service
bool
IsInZoneOut(const PlannerView& aView, const FleetVm& aVm);

/// The result of one planner step.
struct PlannerStep
{
  std::vector<FleetOrder> mOrders;
  /// VMs whose report is to show in which group they are.
  std::set<std::string> mToAsk;
};

/// Number of a service's listed VMs by use.
struct PlannerCounts
{
  size_t mListed = 0;  ///< all
  size_t mServing = 0; ///< in groups that serve
  size_t mForming = 0; ///< in groups that form, close or leave
  size_t mLocked = 0;  ///< may not join yet, as their previous group may serve
  size_t mLoading = 0; ///< like mForming, but probably loading a model
  size_t mFree = 0;    ///< in no group, and not locked
  size_t mUnresponsive = 0;
  size_t mLeaving = 0;
  size_t mLapsed = 0; ///< without an entry; in a group they count above too
  /// Free VMs by domain and by the model staged on their host.
  std::map<std::pair<std::string, std::string>, size_t> mFreeByModel;

  bool operator==(const PlannerCounts&) const = default;
};

/// @return the number of the service's listed VMs by use
PlannerCounts
CountVms(const PlannerState& aState, const PlannerView& aView, TimePoint aNow);

/// @param aFence fencing number of the planner's lease
/// @return the names of the models that can't get a group, as no domain lists
///         enough VMs, or as they have no share of the VMs
std::set<std::string>
FindUnformableModels(const PlannerView& aView);

/// @return the initial state for the lease; its groups get higher epochs than
///         those of earlier leases
PlannerState
MakePlannerState(uint64_t aFence);

/// @return whether the group was formed under the lease of the state
bool
IsOfLease(const PlannerState& aState, const GroupKey& aKey);

/// Updates the state from the view and decides the next orders. Existing groups
/// are repaired first, then groups are formed, then spares are prepared.
PlannerStep
PlanStep(PlannerState& aState,
         const PlannerView& aView,
         const PlannerLimits& aLimits,
         TimePoint aNow);

/// @return whether the VM counts as lost, as it doesn't respond
bool
IsLost(const PlannerState& aState,
       const FleetVms& aVms,
       const std::string& aVmId,
       TimePoint aNow);

/// @return whether the VM is no sound member of the group any more
bool
IsLostMember(const PlannerState& aState,
             const FleetVms& aVms,
             const GroupKey& aKey,
             const std::string& aVmId,
             TimePoint aNow);

/// Updates the state with the outcome of an order.
void
RecordOutcome(PlannerState& aState,
              const FleetOrder& aOrder,
              OrderOutcome aOutcome,
              const CallTimes& aTimes);

/// Updates the state with the report of a VM. What it tells is ignored if its
/// group can't be read, or if it is of another life than the VM's latest known
/// one or the listed one, as another VM may respond at the address.
void
RecordReport(PlannerState& aState,
             const std::string& aVmId,
             const EngineReport& aReport,
             const CallTimes& aTimes);

/// Updates the state with the result of a probe.
void
RecordProbe(PlannerState& aState,
            const std::string& aVmId,
            bool aResponded,
            const CallTimes& aTimes);

/// @return whether the VM's previous group may still serve: its head could not
///         be made to leave, and is either still listed as a member of the
///         group, or not listed, in which case only a VM that has left the
///         group is free, once the head is known to be unresponsive
bool
IsLocked(const PlannerState& aState,
         const FleetVms& aVms,
         const std::string& aVmId,
         TimePoint aNow);

/// @return the members of the serving group with the head aHead, empty if there
///         is none
std::vector<std::string>
ServingMembers(const PlannerState& aState, const std::string& aHead);

} // namespace hibiscushold
