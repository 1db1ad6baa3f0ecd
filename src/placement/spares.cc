#include "placement/spares.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hibiscushold {

namespace {

/// Difference between the priorities of loads; larger than any other cost.
constexpr double kPriorityStep = 100;
/// A group that lacks at most this fraction of its VMs is completed first.
constexpr double kAlmostComplete = 1.0 / 3;

/// A VM that could become a spare, and the model for it.
struct Candidate
{
  double mCost = 0;
  const FleetModel* mModel = nullptr;
  const FleetVm* mVm = nullptr;
};

/// The VMs of one domain outside its groups.
struct DomainSpares
{
  const std::string& mDomain;
  const std::vector<const FleetVm*>& mVms; ///< free
  size_t mLoading = 0;                     ///< not free yet
  std::map<std::string, size_t> mChosen;   ///< loads of this step, by model
};

/// The next group of a model that a domain's spares could form.
struct NextGroup
{
  size_t mCovered = 0;  ///< spares that have the model or load it
  size_t mComplete = 0; ///< of these, VMs of complete groups about to be formed
  size_t mLacking = 0;  ///< loads that complete the next group
  /// Spares of the domain that are left beside the group and those that its
  /// groups of other models need; negative if there are too few.
  ptrdiff_t mLeft = 0;
};

size_t
CountStaged(const FormationContext& aContext,
            const DomainSpares& aSpares,
            const FleetModel& aModel)
{
  return static_cast<size_t>(std::count_if(
    aSpares.mVms.begin(), aSpares.mVms.end(), [&](const FleetVm* it) {
      return JoinCostOf(aContext, *it, aModel.mName) != JoinCost::Load;
    }));
}

NextGroup
FindNextGroup(FormationContext& aContext,
              DomainSpares& aSpares,
              const FleetModel& aModel)
{
  NextGroup group;
  group.mCovered = CountStaged(aContext, aSpares, aModel) +
                   aContext.mLoadingSpares[{ aSpares.mDomain, aModel.mName }] +
                   aSpares.mChosen[aModel.mName];
  const size_t begun = group.mCovered % aModel.mSize;
  group.mComplete = group.mCovered - begun;
  group.mLacking = aModel.mSize - begun;
  size_t needed = group.mComplete + aModel.mSize;
  for (const FleetModel& it : aContext.mView.mEngine.mModels) {
    if (&it != &aModel) {
      needed += WantedSpares(aContext, aSpares.mDomain, it);
    }
  }
  group.mLeft = static_cast<ptrdiff_t>(aSpares.mVms.size() + aSpares.mLoading) -
                static_cast<ptrdiff_t>(needed);
  return group;
}

/// @return a model on the VM's host that the VM did not start last, or null
const FleetModel*
StagedModelToStart(const FormationContext& aContext, const FleetVm& aVm)
{
  for (const FleetModel& it : aContext.mView.mEngine.mModels) {
    if (JoinCostOf(aContext, aVm, it.mName) == JoinCost::Warm && it.mSize > 1) {
      return &it;
    }
  }
  return nullptr;
}

bool
IsAlmostComplete(const NextGroup& aGroup, const FleetModel& aModel)
{
  return aGroup.mLeft >= 0 && aGroup.mLacking < aModel.mSize &&
         static_cast<double>(aGroup.mLacking) <=
           std::max(1.0, static_cast<double>(aModel.mSize) * kAlmostComplete);
}

/// @return whether the domain can form the group beside those of other models
///         that are almost complete
bool
IsPossible(FormationContext& aContext,
           DomainSpares& aSpares,
           const FleetModel& aModel,
           const NextGroup& aGroup)
{
  ptrdiff_t left = aGroup.mLeft;
  for (const FleetModel& other : aContext.mView.mEngine.mModels) {
    const NextGroup group = FindNextGroup(aContext, aSpares, other);
    if (&other != &aModel) {
      left -= static_cast<ptrdiff_t>(group.mComplete);
      left -= IsAlmostComplete(group, other)
                ? static_cast<ptrdiff_t>(other.mSize)
                : 0;
    }
  }
  return left >= 0;
}

/// @param aKept spares that have the model or load it
/// @return expected number of VMs that one more spare keeps in use while a load
///         runs: a group that can't replace a lost VM leaves all of its VMs
///         idle. Losses count as independent.
double
SpareGain(FormationContext& aContext,
          const std::string& aDomain,
          const FleetModel& aModel,
          size_t aKept)
{
  const double losses = ExpectedLosses(aContext, aDomain, aModel);
  double chance = std::exp(-losses); // of n losses
  double unmet = 1;                  // chance of more than n losses
  for (size_t n = 0; n <= aKept; ++n) {
    unmet -= chance;
    chance *= losses / static_cast<double>(n + 1);
  }
  return std::max(unmet, 0.0) * static_cast<double>(aModel.mSize);
}

/// The cost of the next load of a model in a domain. Completing a group of VMs
/// that are idle goes first, then replacing the next lost VM, then beginning a
/// group, and last what completes none and is kept for the domain's groups.
/// Among these, the load that puts most VMs to use, or keeps most in use, goes
/// first, for models with a low fill ratio.
double
LoadCost(FormationContext& aContext,
         DomainSpares& aSpares,
         const FleetModel& aModel)
{
  const NextGroup group = FindNextGroup(aContext, aSpares, aModel);
  const size_t spares = WantedSpares(aContext, aSpares.mDomain, aModel);
  const double order =
    static_cast<double>(group.mLacking) / static_cast<double>(aModel.mSize) +
    FillRatio(aContext, aModel);
  if (IsAlmostComplete(group, aModel)) {
    return order;
  }
  if (group.mCovered < spares) {
    return kPriorityStep + order;
  }
  if (IsPossible(aContext, aSpares, aModel, group)) {
    return 2 * kPriorityStep + order;
  }
  if (spares == 0) {
    return 4 * kPriorityStep + order;
  }
  const size_t kept = group.mCovered - group.mComplete;
  return 3 * kPriorityStep +
         1 / (1 + SpareGain(aContext, aSpares.mDomain, aModel, kept));
}

/// Chooses the model that a VM of the domain should load.
/// @return the model and its cost, without a VM; the model may be null
Candidate
BestLoad(FormationContext& aContext, DomainSpares& aSpares)
{
  Candidate best;
  for (const FleetModel& model : aContext.mView.mEngine.mModels) {
    if (model.mSize < 2) {
      continue;
    }
    const double cost = LoadCost(aContext, aSpares, model);
    if (best.mModel == nullptr || cost < best.mCost) {
      best = { cost, &model, nullptr };
    }
  }
  return best;
}

/// @return the VMs that have another model than aModel and may load it. Neither
///         the spares of the domain's groups nor a complete group lose one, nor
///         a larger one that is almost complete.
std::vector<const FleetVm*>
FindConvertible(FormationContext& aContext,
                DomainSpares& aSpares,
                const FleetModel& aModel)
{
  std::vector<const FleetVm*> convertible;
  for (const FleetModel& other : aContext.mView.mEngine.mModels) {
    const NextGroup group = FindNextGroup(aContext, aSpares, other);
    const bool isPreferred =
      IsAlmostComplete(group, other) && other.mSize >= aModel.mSize;
    if (&other == &aModel || isPreferred) {
      continue;
    }
    size_t kept =
      group.mComplete + WantedSpares(aContext, aSpares.mDomain, other);
    for (const FleetVm* it : aSpares.mVms) {
      if (it->mStaged.empty() ||
          JoinCostOf(aContext, *it, other.mName) == JoinCost::Load) {
        continue;
      }
      if (kept > 0) {
        --kept;
      } else {
        convertible.push_back(it);
      }
    }
  }
  return convertible;
}

/// Adds spares that should load another model: those that complete a group
/// which is almost complete, where the VMs without a model are too few.
/// @return the spares
std::set<const FleetVm*>
AddConversions(FormationContext& aContext,
               DomainSpares& aSpares,
               std::vector<Candidate>& aCandidates)
{
  for (const FleetModel& model : aContext.mView.mEngine.mModels) {
    const NextGroup group = FindNextGroup(aContext, aSpares, model);
    if (model.mSize < 2 || !IsAlmostComplete(group, model)) {
      continue;
    }
    const std::vector<const FleetVm*> convertible =
      FindConvertible(aContext, aSpares, model);
    if (convertible.size() < group.mLacking) {
      continue;
    }
    for (size_t n = 0; n < group.mLacking; ++n) {
      aCandidates.push_back(
        { LoadCost(aContext, aSpares, model), &model, convertible[n] });
    }
    return { convertible.begin(),
             convertible.begin() + static_cast<ptrdiff_t>(group.mLacking) };
  }
  return {};
}

void
AddCandidates(FormationContext& aContext,
              const std::string& aDomain,
              const std::vector<const FleetVm*>& aVms,
              std::vector<Candidate>& aCandidates)
{
  DomainSpares spares{ aDomain, aVms, 0, {} };
  for (const auto& [where, n] : aContext.mLoadingSpares) {
    spares.mLoading += where.first == aDomain ? n : 0;
  }
  for (const FleetVm* it : aVms) {
    const Candidate best =
      it->mStaged.empty() ? BestLoad(aContext, spares) : Candidate{};
    if (best.mModel != nullptr) {
      ++spares.mChosen[best.mModel->mName];
      aCandidates.push_back({ best.mCost, best.mModel, it });
    }
  }
  const std::set<const FleetVm*> converted =
    AddConversions(aContext, spares, aCandidates);
  for (const FleetVm* it : aVms) {
    const FleetModel* model = StagedModelToStart(aContext, *it);
    if (model != nullptr && !aContext.mJoiningSpares.contains(it->mId) &&
        !converted.contains(it)) {
      aCandidates.push_back({ 0, model, it });
    }
  }
}

void
PrepareSpare(FormationContext& aContext,
             const FleetVm& aVm,
             const FleetModel& aModel)
{
  const FreeVm vm{ aVm.mId, JoinCostOf(aContext, aVm, aModel.mName) };
  const bool load = vm.mCost == JoinCost::Load;
  // Before the first request, loads do not slow each other down.
  if (load && !aContext.mView.mBeforeTraffic && LoadsAllowed(aContext) == 0) {
    return;
  }
  OrderJoins(aContext, aModel, aVm.mDomain, { aVm.mId }, load ? 1 : 0);
  RecordLoad(aContext, vm, aModel);
  RemoveFreeVm(aContext, aVm.mDomain, aVm.mId);
}

} // namespace

void
PrepareSpares(FormationContext& aContext)
{
  std::vector<Candidate> candidates;
  for (const auto& [domain, vms] : aContext.mFree) {
    AddCandidates(aContext, domain, vms, candidates);
  }
  std::stable_sort(
    candidates.begin(), candidates.end(), [](const auto& aL, const auto& aR) {
      return aL.mCost < aR.mCost;
    });
  for (const Candidate& it : candidates) {
    PrepareSpare(aContext, *it.mVm, *it.mModel);
  }
}

} // namespace hibiscushold
