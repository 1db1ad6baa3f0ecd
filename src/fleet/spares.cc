#include "fleet/spares.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Cost of each load that a group still needs, on the scale of FillRatio().
constexpr double kLoadCost = 0.2;
/// Difference between the priorities of loads; larger than the cost of all
/// loads of a group.
constexpr double kPriorityStep = 100;

/// A VM that could become a spare, and the model for it.
struct Candidate
{
  double mCost = 0;
  const FleetModel* mModel = nullptr;
  const FleetVm* mVm = nullptr;
};

/// VMs of a domain outside its groups that have a model.
struct SpareCounts
{
  size_t mFree = 0;    ///< free VMs with the model on their host
  size_t mCovered = 0; ///< mFree and the spares that are loading it
};

SpareCounts
CountSpares(FormationContext& aContext,
            const std::string& aDomain,
            const std::vector<const FleetVm*>& aVms,
            const FleetModel& aModel)
{
  SpareCounts counts;
  for (const FleetVm* it : aVms) {
    counts.mFree +=
      JoinCostOf(aContext, *it, aModel.mName) != JoinCost::Load ? 1 : 0;
  }
  counts.mCovered =
    counts.mFree + aContext.mLoadingSpares[{ aDomain, aModel.mName }];
  return counts;
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

/// Chooses the model that a VM of the domain should load: one that lacks a
/// single VM for a group, then one that lacks spares in the domain, then any
/// other. Among these, models that lack few VMs or have a low fill ratio go
/// first.
/// @param aChosen loads chosen before in this step, by model
/// @return the model and its cost, without a VM; the model may be null
Candidate
BestLoad(FormationContext& aContext,
         const std::string& aDomain,
         const std::vector<const FleetVm*>& aVms,
         std::map<std::string, size_t>& aChosen)
{
  Candidate best;
  for (const FleetModel& model : aContext.mView.mEngine.mModels) {
    if (model.mSize < 2) {
      continue;
    }
    const size_t covered =
      CountSpares(aContext, aDomain, aVms, model).mCovered +
      aChosen[model.mName];
    const size_t spares = WantedSpares(aContext, aDomain, model);
    const size_t lacking = model.mSize - covered % model.mSize;
    // Completing a group of idle VMs goes before replacing the next lost VM.
    const bool completes = lacking == 1 && covered > 0;
    const double priority = completes          ? 0
                            : covered < spares ? kPriorityStep
                                               : 2 * kPriorityStep;
    const double cost = priority + static_cast<double>(lacking) * kLoadCost +
                        FillRatio(aContext, model);
    if (best.mModel == nullptr || cost < best.mCost) {
      best = { cost, &model, nullptr };
    }
  }
  return best;
}

/// Adds spares that should load another model. This is worth the loads where a
/// group lacks at most a third of its VMs and spares of other models can
/// complete it, as the VMs that are there stay idle otherwise.
void
AddConversions(FormationContext& aContext,
               const std::string& aDomain,
               const std::vector<const FleetVm*>& aVms,
               const std::vector<const FleetVm*>& aStaged,
               std::vector<Candidate>& aCandidates)
{
  for (const FleetModel& model : aContext.mView.mEngine.mModels) {
    const SpareCounts counts = CountSpares(aContext, aDomain, aVms, model);
    const size_t covered = counts.mCovered % model.mSize;
    const size_t lacking = model.mSize - covered;
    if (covered == 0 || lacking * 3 > model.mSize ||
        aStaged.size() - counts.mFree < lacking) {
      continue;
    }
    size_t n = 0;
    for (const FleetVm* it : aStaged) {
      if (n < lacking &&
          JoinCostOf(aContext, *it, model.mName) == JoinCost::Load) {
        ++n;
        aCandidates.push_back({ kLoadCost * static_cast<double>(lacking) +
                                  FillRatio(aContext, model),
                                &model,
                                it });
      }
    }
    return;
  }
}

void
AddCandidates(FormationContext& aContext,
              const std::string& aDomain,
              const std::vector<const FleetVm*>& aVms,
              std::vector<Candidate>& aCandidates)
{
  std::vector<const FleetVm*> empty;
  std::vector<const FleetVm*> staged;
  for (const FleetVm* it : aVms) {
    const FleetModel* model = StagedModelToStart(aContext, *it);
    if (model != nullptr && !aContext.mJoiningSpares.contains(it->mId)) {
      aCandidates.push_back({ 0, model, it });
    }
    (it->mStaged.empty() ? empty : staged).push_back(it);
  }
  std::map<std::string, size_t> chosen;
  for (const FleetVm* it : empty) {
    const Candidate best = BestLoad(aContext, aDomain, aVms, chosen);
    if (best.mModel != nullptr) {
      ++chosen[best.mModel->mName];
      aCandidates.push_back({ best.mCost, best.mModel, it });
    }
  }
  if (empty.empty()) {
    AddConversions(aContext, aDomain, aVms, staged, aCandidates);
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
