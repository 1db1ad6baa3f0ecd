#include "fleet/formation.h"

#include "fleet/board.h"
#include "fleet/spares.h"

#include <optional>

namespace hibiscushold {

namespace {

/// No new VM for so long means that all have appeared.
constexpr auto kSettleTime = milliseconds(700);

struct Option
{
  const FleetModel* mModel = nullptr;
  std::string mDomain;
  std::vector<FreeVm> mVms;
  size_t mLoads = 0;
  double mRank = 0; ///< lower is better
};

bool
HaveAllAppeared(const Board& aBoard)
{
  return aBoard.mNow >= aBoard.mState.mNewVmAt + kSettleTime;
}

/// Groups of another model leave a domain the spares that its own want; a
/// large group that lacks one VM strands all the others.
bool
LeavesSpares(Board& aBoard, const Option& aOption)
{
  size_t spares = 0;
  for (const FleetModel& it : aBoard.mView.mEngine.mModels) {
    if (&it != aOption.mModel) {
      spares += WantedSpares(aBoard, aOption.mDomain, it);
    }
  }
  return aBoard.mFree[aOption.mDomain].size() >= aOption.mModel->mSize + spares;
}

/// Before the first request a load is a part of the join; later, spares are
/// loaded one by one.
bool
MayForm(Board& aBoard, const Option& aOption)
{
  return (aOption.mLoads == 0 || aBoard.mView.mBeforeTraffic) &&
         LeavesSpares(aBoard, aOption);
}

Option
MakeOption(Board& aBoard, const FleetModel& aModel, const std::string& aDomain)
{
  Option option{
    &aModel, aDomain, RankedVms(aBoard, aDomain, aModel.mName), 0, 0
  };
  option.mVms.resize(aModel.mSize);
  for (const FreeVm& it : option.mVms) {
    option.mLoads += it.mCost == JoinCost::Load ? 1 : 0;
  }
  // What is quick goes first, then the model that has least for its share.
  // A domain that serves one model leaves fewer VMs over than one that
  // serves several.
  const std::set<std::string>& models = aBoard.mModelsIn[aDomain];
  const double mixed = models.contains(aModel.mName) ? 0
                       : models.empty()              ? 1
                                                     : 2;
  option.mRank =
    (option.mLoads > 0 ? 1e6 : 0) + FilledBy(aBoard, aModel) * 1000 + mixed;
  return option;
}

void
Form(Board& aBoard, const Option& aOption)
{
  std::vector<std::string> members;
  for (const FreeVm& it : aOption.mVms) {
    members.push_back(it.mId);
  }
  OrderJoins(aBoard, *aOption.mModel, aOption.mDomain, members, aOption.mLoads);
  for (const FreeVm& it : aOption.mVms) {
    NoteCost(aBoard, it, *aOption.mModel);
    Take(aBoard, aOption.mDomain, it.mId);
    const auto warming = aBoard.mWarming.find(it.mId);
    if (warming != aBoard.mWarming.end()) {
      aBoard.mState.mDissolved[warming->second] = aBoard.mNow;
      aBoard.mState.mGroups.erase(warming->second);
    }
  }
  aBoard.mServing[aOption.mModel->mName] += 1;
  aBoard.mModelsIn[aOption.mDomain].insert(aOption.mModel->mName);
  ++aBoard.mGroupsIn[{ aOption.mDomain, aOption.mModel->mName }];
}

/// @return whether a group was formed
bool
FormOne(Board& aBoard)
{
  std::optional<Option> best;
  for (const auto& [domain, vms] : aBoard.mFree) {
    for (const FleetModel& model : aBoard.mView.mEngine.mModels) {
      if (vms.size() < model.mSize) {
        continue;
      }
      Option option = MakeOption(aBoard, model, domain);
      if (MayForm(aBoard, option) && (!best || option.mRank < best->mRank)) {
        best = std::move(option);
      }
    }
  }
  if (!best) {
    return false;
  }
  Form(aBoard, *best);
  return true;
}

} // namespace

void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               std::vector<FleetOrder>& aOrders)
{
  Board board{ aState, aView, aNow, aOrders, {}, {}, 0, {}, {}, {}, {} };
  FindFree(board);
  // VMs appear one after the other at the first start. Groups that are laid
  // out when all are there leave the fewest over.
  if (aView.mBeforeTraffic && !HaveAllAppeared(board)) {
    return;
  }
  while (FormOne(board)) {
  }
  LoadSpares(board);
}

} // namespace hibiscushold
