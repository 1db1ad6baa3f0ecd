#pragma once

#include "fleet/config.h"
#include "fleet/orders.h"
#include "fleet/vm.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscushold {

/// Orders are carried out within milliseconds, unless they got lost; one whose
/// effect is not seen is repeated after this.
inline constexpr auto kOrderAgain = milliseconds(450);

/// Bounds that the planner keeps to.
struct PlannerBounds
{
  milliseconds mStall{ 6000 }; ///< a group that lost a VM is broken after this
};

/// What the planner holds of one VM beyond the platform's list.
struct VmBelief
{
  uint64_t mBornMillis = 0;
  Endpoint mAddress;
  TimePoint mLockedUntil; ///< its old group may still serve until here
  std::string mLockedBy;  ///< head of that group, when it is known
  GroupKey mLockedIn;
  TimePoint mSilentUntil;  ///< it did not answer; not used before
  TimePoint mLoadingUntil; ///< a load from the weight store is under way
  uint32_t mFailures = 0;  ///< questions and orders in a row without answer
  std::string mLastModel;  ///< model of its last seat in this life
};

/// How far the planner is with a group.
enum class GroupStage
{
  Forming, ///< joins were ordered
  Serving, ///< the head was told to open, or was found open
  Closing, ///< the head ends its work
  Leaving, ///< the head was told to leave
};

/// A group that the planner formed or found.
struct PlannedGroup
{
  std::string mModel;
  std::string mDomain;
  std::vector<std::string> mMembers; ///< by rank
  GroupStage mStage = GroupStage::Forming;
  TimePoint mDeadline;     ///< of the stage
  TimePoint mOrderAgainAt; ///< the stage's order is not repeated before
};

/// All that the planner remembers. It starts empty with each lease; what the
/// VMs report of themselves fills it.
struct PlannerState
{
  uint64_t mFence = 0;
  uint64_t mLastEpoch = 0; ///< of a group; rises with each formation
  TimePoint mNewVmAt;      ///< when a VM was first seen last
  std::map<std::string, VmBelief> mVms;
  std::map<GroupKey, PlannedGroup> mGroups;
  /// Groups that are no longer planned; not taken up again before the time
  /// given, and after it only where the head serves.
  std::map<GroupKey, TimePoint> mDissolved;
  /// Groups whose head could not be told to leave, with the head's id, which
  /// is empty when it was never seen. Whoever is seated there is not free.
  std::map<GroupKey, std::string> mUnheard;
  std::deque<TimePoint> mLoads; ///< starts of loads
};

/// What the planner sees in one step.
struct PlannerView
{
  const FleetVms& mVms;
  std::string mService;
  const EngineSpec& mEngine;
  bool mBeforeTraffic = false; ///< loads are quick and are not counted
};

/// What is to be done after a step.
struct PlannerStep
{
  std::vector<FleetOrder> mOrders;
};

/// How many VMs are in which use.
struct PlannerCounts
{
  size_t mLive = 0;
  size_t mServing = 0;
  size_t mForming = 0;
  size_t mLocked = 0;  ///< may not join yet
  size_t mLoading = 0; ///< spares that load a model
  size_t mSpare = 0;
  size_t mSilent = 0;
  size_t mLeaving = 0;
  /// Free VMs by domain and the model on their host.
  std::map<std::pair<std::string, std::string>, size_t> mSpares;

  bool operator==(const PlannerCounts&) const = default;
};

/// @return the use of the service's VMs after a step
PlannerCounts
CountVms(const PlannerState& aState, const PlannerView& aView, TimePoint aNow);

/// @return a state for a new lease
/// @param aFence number of the lease
PlannerState
StartPlanning(uint64_t aFence);

/// Decides the next orders. Repairs go before growth, growth before spares.
PlannerStep
PlanStep(PlannerState& aState,
         const PlannerView& aView,
         const PlannerBounds& aBounds,
         TimePoint aNow);

/// Notes what became of an order.
void
RecordOutcome(PlannerState& aState,
              const FleetOrder& aOrder,
              OrderOutcome aOutcome,
              TimePoint aNow);

/// Notes whether a VM answered a question.
void
RecordAnswer(PlannerState& aState,
             const std::string& aVmId,
             bool aAnswered,
             TimePoint aNow);

/// @return whether the VM's old group may still serve: its head could not be
///         told to leave, and neither has the platform dropped it from its
///         list nor has it begun another life
bool
IsLocked(const PlannerState& aState,
         const FleetVms& aVms,
         const std::string& aVmId,
         TimePoint aNow);

/// @return the members of the group that aHead leads, to be asked whether they
///         are alive
std::vector<std::string>
MembersToAsk(const PlannerState& aState, const std::string& aHead);

} // namespace hibiscushold
