#pragma once

#include "fleet/planner.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// What it takes a VM to join a group of a model.
enum class JoinCost
{
  Again, ///< it served the model last
  Warm,  ///< the model is on its host
  Load,  ///< it has to be loaded
};

/// A VM that can join a group, and at which cost.
struct FreeVm
{
  std::string mId;
  JoinCost mCost = JoinCost::Load;
};

/// Names a domain and a model.
using DomainModel = std::pair<std::string, std::string>;

/// What the forming of groups works on within one step of the planner.
struct Board
{
  PlannerState& mState;
  const PlannerView& mView;
  TimePoint mNow;
  std::vector<FleetOrder>& mOrders;
  std::map<std::string, std::vector<const FleetVm*>> mFree; ///< by domain
  std::map<std::string, GroupKey> mWarming; ///< spares that join, by VM
  size_t mLive = 0;                         ///< VMs that could serve
  std::map<DomainModel, size_t> mLoadingIn; ///< spares under way
  std::map<DomainModel, size_t> mGroupsIn;
  std::map<std::string, std::set<std::string>> mModelsIn; ///< by domain
  std::map<std::string, double> mServing;                 ///< groups of a model
};

/// Notes which VMs are free and what the domains serve.
void
FindFree(Board& aBoard);

/// @return VMs that serve the model, relative to its share of the VMs
double
FilledBy(const Board& aBoard, const FleetModel& aModel);

JoinCost
CostOf(const Board& aBoard, const FleetVm& aVm, const std::string& aModel);

/// @return free VMs of the domain, the quickest to join first
std::vector<FreeVm>
RankedVms(const Board& aBoard,
          const std::string& aDomain,
          const std::string& aModel);

/// @return loads that may start now
size_t
LoadsAllowed(Board& aBoard);

/// @return free VMs that should stay for the model's groups in the domain
size_t
WantedSpares(Board& aBoard,
             const std::string& aDomain,
             const FleetModel& aModel);

/// Takes a VM off the free ones.
void
Take(Board& aBoard, const std::string& aDomain, const std::string& aVmId);

/// Notes that a VM loads a model, if it has to.
void
NoteCost(Board& aBoard, const FreeVm& aVm, const FleetModel& aModel);

/// Orders VMs into a new group.
/// @param aLoads how many of them have to load the model
void
OrderJoins(Board& aBoard,
           const FleetModel& aModel,
           const std::string& aDomain,
           const std::vector<std::string>& aMembers,
           size_t aLoads);

} // namespace hibiscushold
