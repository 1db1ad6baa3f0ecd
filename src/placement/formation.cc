#include "placement/formation.h"

#include "placement/formationcontext.h"
#include "placement/spares.h"

#include <optional>

namespace hibiscushold {

namespace {

/// At the first start, all VMs count as discovered when no new one has appeared
/// for this time.
constexpr auto kVmDiscoveryTime = milliseconds(700);

/// A group that could be formed.
struct Option
{
  const FleetModel* mModel = nullptr;
  std::string mDomain;
  std::vector<FreeVm> mVms;
  size_t mLoads = 0;
  double mCost = 0; ///< lower is better
};

bool
HaveAllAppeared(const FormationContext& aContext)
{
  return aContext.mNow >= aContext.mState.mLastNewVmAt + kVmDiscoveryTime;
}

/// A new group must leave the spares that the domain's groups of other models
/// need: a large group that cannot replace one lost VM leaves all its other VMs
/// idle.
bool
LeavesSpares(FormationContext& aContext, const Option& aOption)
{
  size_t spares = 0;
  for (const FleetModel& it : aContext.mView.mEngine.mModels) {
    if (&it != aOption.mModel) {
      spares += WantedSpares(aContext, aOption.mDomain, it);
    }
  }
  return aContext.mFree[aOption.mDomain].size() >=
         aOption.mModel->mSize + spares;
}

/// Before the first request, members may load the model as part of the join;
/// later, only spares load models, one by one.
bool
MayForm(FormationContext& aContext, const Option& aOption)
{
  return (aOption.mLoads == 0 || aContext.mView.mBeforeTraffic) &&
         LeavesSpares(aContext, aOption);
}

Option
MakeOption(FormationContext& aContext,
           const FleetModel& aModel,
           const std::string& aDomain)
{
  Option option{
    &aModel, aDomain, SortFreeVms(aContext, aDomain, aModel.mName), 0, 0
  };
  option.mVms.resize(aModel.mSize);
  for (const FreeVm& it : option.mVms) {
    option.mLoads += it.mCost == JoinCost::Load ? 1 : 0;
  }
  // Groups that need no load go first, then the model with the lowest fill
  // ratio. A domain that serves a single model has fewer VMs left over than one
  // that serves several.
  const std::set<std::string>& models = aContext.mModelsByDomain[aDomain];
  const double mixingPenalty = models.contains(aModel.mName) ? 0
                               : models.empty()              ? 1
                                                             : 2;
  option.mCost = (option.mLoads > 0 ? 1e6 : 0) +
                 FillRatio(aContext, aModel) * 1000 + mixingPenalty;
  return option;
}

void
Form(FormationContext& aContext, const Option& aOption)
{
  std::vector<std::string> members;
  for (const FreeVm& it : aOption.mVms) {
    members.push_back(it.mId);
  }
  OrderJoins(
    aContext, *aOption.mModel, aOption.mDomain, members, aOption.mLoads);
  for (const FreeVm& it : aOption.mVms) {
    RecordLoad(aContext, it, *aOption.mModel);
    RemoveFreeVm(aContext, aOption.mDomain, it.mId);
    const auto joiningSpare = aContext.mJoiningSpares.find(it.mId);
    if (joiningSpare != aContext.mJoiningSpares.end()) {
      aContext.mState.mDissolved[joiningSpare->second] = aContext.mNow;
      aContext.mState.mGroups.erase(joiningSpare->second);
    }
  }
  aContext.mGroupsByModel[aOption.mModel->mName] += 1;
  aContext.mModelsByDomain[aOption.mDomain].insert(aOption.mModel->mName);
  ++aContext.mGroupCounts[{ aOption.mDomain, aOption.mModel->mName }];
}

/// @return whether a group was formed
bool
FormOne(FormationContext& aContext)
{
  std::optional<Option> best;
  for (const auto& [domain, vms] : aContext.mFree) {
    for (const FleetModel& model : aContext.mView.mEngine.mModels) {
      if (vms.size() < model.mSize) {
        continue;
      }
      Option option = MakeOption(aContext, model, domain);
      if (MayForm(aContext, option) && (!best || option.mCost < best->mCost)) {
        best = std::move(option);
      }
    }
  }
  if (!best) {
    return false;
  }
  Form(aContext, *best);
  return true;
}

} // namespace

void
PlanFormations(PlannerState& aState,
               const PlannerView& aView,
               TimePoint aNow,
               PlannerStep& aStep)
{
  FormationContext context{ aState, aView, aNow, aStep, {}, {},
                            0,      {},    {},   {},    {} };
  CollectFreeVms(context);
  if (context.mAwaitsProof) {
    return;
  }
  // At the first start, VMs appear one after the other. Planning once all are
  // present leaves the fewest VMs without a group.
  if (aView.mBeforeTraffic && !HaveAllAppeared(context)) {
    return;
  }
  while (FormOne(context)) {
  }
  PrepareSpares(context);
}

} // namespace hibiscushold
