#pragma once

#include "placement/planner.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// The cost of a VM joining a group of a model, in ascending order.
enum class JoinCost
{
  StartedLast, ///< the VM started the model last and has it on its host
  Warm,        ///< the model is on the VM's host
  Load,        ///< the VM has to load the model from the weight store
};

/// A VM that can join a group, and the cost of that.
struct FreeVm
{
  std::string mId;
  JoinCost mCost = JoinCost::Load;
};

/// A fabric domain and a model, by name.
using DomainModel = std::pair<std::string, std::string>;

/// The data that group formation works on during one planner step.
struct FormationContext
{
  PlannerState& mState;
  const PlannerView& mView;
  TimePoint mNow;
  PlannerStep& mStep; ///< receives the orders and the VMs to ask
  std::map<std::string, std::vector<const FleetVm*>> mFree; ///< by domain
  /// Spares that are joining without a load, each alone in a group; by VM.
  std::map<std::string, GroupKey> mJoiningSpares;
  size_t mLive = 0;                             ///< live VMs that respond
  std::map<DomainModel, size_t> mLoadingSpares; ///< spares that are loading
  std::map<DomainModel, size_t> mGroupCounts;   ///< number of groups
  std::map<std::string, std::set<std::string>> mModelsByDomain;
  std::map<std::string, double> mGroupsByModel; ///< number of groups
  bool mAwaitsProof = false; ///< reports that may free VMs are about to arrive
};

/// Collects the free VMs and counts the groups of each domain and model.
void
CollectFreeVms(FormationContext& aContext);

/// @return VMs in groups of the model, divided by the model's share of the live
///         VMs
double
FillRatio(const FormationContext& aContext, const FleetModel& aModel);

JoinCost
JoinCostOf(const FormationContext& aContext,
           const FleetVm& aVm,
           const std::string& aModel);

/// @return free VMs of the domain, those with the cheapest join first
std::vector<FreeVm>
SortFreeVms(const FormationContext& aContext,
            const std::string& aDomain,
            const std::string& aModel);

/// Discards recorded load starts that are too old to count against the rate.
/// @return number of loads from the weight store that may start now
size_t
LoadsAllowed(FormationContext& aContext);

/// @return number of VMs that the model's groups in the domain are expected to
///         lose while a load runs
double
ExpectedLosses(FormationContext& aContext,
               const std::string& aDomain,
               const FleetModel& aModel);

/// @return number of free VMs to keep in reserve for the model's groups in the
///         domain
size_t
WantedSpares(FormationContext& aContext,
             const std::string& aDomain,
             const FleetModel& aModel);

/// Removes a VM from the domain's free VMs.
void
RemoveFreeVm(FormationContext& aContext,
             const std::string& aDomain,
             const std::string& aVmId);

/// Records that a VM starts to load a model, if its join requires a load.
void
RecordLoad(FormationContext& aContext,
           const FreeVm& aVm,
           const FleetModel& aModel);

/// Creates a group in the plan and orders its members to join.
/// @param aMembers VM ids by rank, the head first
/// @param aLoads number of members that have to load the model
void
OrderJoins(FormationContext& aContext,
           const FleetModel& aModel,
           const std::string& aDomain,
           const std::vector<std::string>& aMembers,
           size_t aLoads);

} // namespace hibiscushold
