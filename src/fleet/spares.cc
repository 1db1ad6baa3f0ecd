#include "fleet/spares.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// One more load weighs as much as this part of a model's share.
constexpr double kLoadCost = 0.2;
/// Separates loads of different purposes; more than all loads of a group.
constexpr double kSpareRank = 100;

struct Wanted
{
  double mCost = 0;
  const FleetModel* mModel = nullptr;
  const FleetVm* mVm = nullptr;
};

/// What a domain has of a model beside its groups.
struct Stock
{
  size_t mFree = 0;    ///< free VMs that hold it
  size_t mCovered = 0; ///< the same with those that load it
};

Stock
StockOf(Board& aBoard,
        const std::string& aDomain,
        const std::vector<const FleetVm*>& aVms,
        const FleetModel& aModel)
{
  Stock stock;
  for (const FleetVm* it : aVms) {
    stock.mFree += CostOf(aBoard, *it, aModel.mName) != JoinCost::Load ? 1 : 0;
  }
  stock.mCovered = stock.mFree + aBoard.mLoadingIn[{ aDomain, aModel.mName }];
  return stock;
}

/// @return the model on the VM's host, when the VM did not serve it last
const FleetModel*
HeldUnjoined(const Board& aBoard, const FleetVm& aVm)
{
  for (const FleetModel& it : aBoard.mView.mEngine.mModels) {
    if (CostOf(aBoard, aVm, it.mName) == JoinCost::Warm && it.mSize > 1) {
      return &it;
    }
  }
  return nullptr;
}

/// A domain first gets spares of the models that it serves, then what
/// completes a group soonest or has least for its share.
/// @param aAdded loads that this step has chosen already, by model
Wanted
BestLoad(Board& aBoard,
         const std::string& aDomain,
         const std::vector<const FleetVm*>& aVms,
         std::map<std::string, size_t>& aAdded)
{
  Wanted best;
  for (const FleetModel& model : aBoard.mView.mEngine.mModels) {
    if (model.mSize < 2) {
      continue;
    }
    const size_t covered =
      StockOf(aBoard, aDomain, aVms, model).mCovered + aAdded[model.mName];
    const size_t spares = WantedSpares(aBoard, aDomain, model);
    const size_t lacking = model.mSize - covered % model.mSize;
    // What lets idle VMs serve goes before what replaces the next loss.
    const bool completes = lacking == 1 && covered > 0;
    const double rank = completes          ? 0
                        : covered < spares ? kSpareRank
                                           : 2 * kSpareRank;
    const double cost =
      rank + static_cast<double>(lacking) * kLoadCost + FilledBy(aBoard, model);
    if (best.mModel == nullptr || cost < best.mCost) {
      best = { cost, &model, nullptr };
    }
  }
  return best;
}

/// A spare of another model is worth a load when few of them complete a
/// group that many VMs wait for.
void
AddConversions(Board& aBoard,
               const std::string& aDomain,
               const std::vector<const FleetVm*>& aVms,
               const std::vector<const FleetVm*>& aHolding,
               std::vector<Wanted>& aWanted)
{
  for (const FleetModel& model : aBoard.mView.mEngine.mModels) {
    const Stock stock = StockOf(aBoard, aDomain, aVms, model);
    const size_t covered = stock.mCovered % model.mSize;
    const size_t lacking = model.mSize - covered;
    if (covered == 0 || lacking * 3 > model.mSize ||
        aHolding.size() - stock.mFree < lacking) {
      continue;
    }
    size_t n = 0;
    for (const FleetVm* it : aHolding) {
      if (n < lacking && CostOf(aBoard, *it, model.mName) == JoinCost::Load) {
        ++n;
        aWanted.push_back(
          { kLoadCost * static_cast<double>(lacking) + FilledBy(aBoard, model),
            &model,
            it });
      }
    }
    return;
  }
}

void
AddWanted(Board& aBoard,
          const std::string& aDomain,
          const std::vector<const FleetVm*>& aVms,
          std::vector<Wanted>& aWanted)
{
  std::vector<const FleetVm*> empty;
  std::vector<const FleetVm*> holding;
  for (const FleetVm* it : aVms) {
    const FleetModel* model = HeldUnjoined(aBoard, *it);
    if (model != nullptr && !aBoard.mWarming.contains(it->mId)) {
      aWanted.push_back({ 0, model, it });
    }
    (it->mStaged.empty() ? empty : holding).push_back(it);
  }
  std::map<std::string, size_t> added;
  for (const FleetVm* it : empty) {
    const Wanted best = BestLoad(aBoard, aDomain, aVms, added);
    if (best.mModel != nullptr) {
      ++added[best.mModel->mName];
      aWanted.push_back({ best.mCost, best.mModel, it });
    }
  }
  if (empty.empty()) {
    AddConversions(aBoard, aDomain, aVms, holding, aWanted);
  }
}

void
ReadySpare(Board& aBoard, const FleetVm& aVm, const FleetModel& aModel)
{
  const FreeVm vm{ aVm.mId, CostOf(aBoard, aVm, aModel.mName) };
  const bool load = vm.mCost == JoinCost::Load;
  // An early load keeps its speed however many run.
  if (load && !aBoard.mView.mBeforeTraffic && LoadsAllowed(aBoard) == 0) {
    return;
  }
  OrderJoins(aBoard, aModel, aVm.mDomain, { aVm.mId }, load ? 1 : 0);
  NoteCost(aBoard, vm, aModel);
  Take(aBoard, aVm.mDomain, aVm.mId);
}

} // namespace

void
LoadSpares(Board& aBoard)
{
  std::vector<Wanted> wanted;
  for (const auto& [domain, vms] : aBoard.mFree) {
    AddWanted(aBoard, domain, vms, wanted);
  }
  std::stable_sort(
    wanted.begin(), wanted.end(), [](const auto& aL, const auto& aR) {
      return aL.mCost < aR.mCost;
    });
  for (const Wanted& it : wanted) {
    ReadySpare(aBoard, *it.mVm, *it.mModel);
  }
}

} // namespace hibiscushold
