#include "fleet/choice.h"

#include "fleet/shedding.h"

namespace hibiscushold {

namespace {

/// Another zone adds some milliseconds to each event and its bytes cost more.
constexpr double kOtherZoneCost = 0.6;
/// A wait of so many milliseconds for first events counts as one request.
constexpr double kMillisPerRequest = 40;
/// A head that is silent for most of a usual pause may have lost a VM.
constexpr double kQuietPart = 0.35;
constexpr double kQuietCost = 12;
/// Costs closer than this are taken as equal.
constexpr double kTie = 0.4;

void
AddGroups(const FleetVms& aVms,
          const FleetService& aService,
          FleetTargets& aInto)
{
  for (const SeatedGroup& it : SeatedGroups(aVms, aService.mName)) {
    const FleetModel* model = aService.mEngine->FindModel(it.mModel);
    if (model == nullptr || !IsWhole(it, model->mSize) ||
        it.mMembers[0]->mSeat->mPhase != GroupPhase::Open) {
      continue;
    }
    const FleetVm& head = *it.mMembers[0];
    aInto.mByService[aService.mName].push_back({ head.mId,
                                                 head.mAddress,
                                                 head.mZone,
                                                 it.mModel,
                                                 it.mKey,
                                                 aService.mEngine->mSlots });
  }
}

} // namespace

FleetTargets
FindTargets(const FleetVms& aVms, const FleetConfig& aConfig)
{
  FleetTargets targets;
  for (const auto& [name, service] : aConfig.mServices) {
    if (service.mEngine) {
      AddGroups(aVms, service, targets);
    }
  }
  for (const auto& [id, vm] : aVms) {
    const auto service = aConfig.mServices.find(vm.mService);
    const bool plain =
      service != aConfig.mServices.end() && !service->second.mEngine;
    if (plain && vm.mState == VmState::Live) {
      targets.mByService[vm.mService].push_back(
        { id, vm.mAddress, vm.mZone, "", {}, vm.mSlots });
    }
  }
  return targets;
}

double
CostOf(const LoadedTarget& aTarget, const ChoiceInput& aInput)
{
  double cost = aTarget.mLoad.mInFlight + 1.0;
  cost += ExpectedFirstMillis(aTarget.mLoad, aInput.mNow) / kMillisPerRequest;
  const bool quiet = aTarget.mLoad.mStreaming > 0 &&
                     aInput.mNow - aTarget.mLoad.mLastProgress >
                       UsualPause(aTarget.mLoad, StallLimits{}) * kQuietPart;
  cost += quiet ? kQuietCost : 0;
  return aTarget.mSameZone ? cost : cost + kOtherZoneCost;
}

const FleetTarget*
ChooseTarget(std::span<const FleetTarget> aTargets,
             const TargetLoads& aLoads,
             const ChoiceInput& aInput,
             const std::set<std::string>& aTried)
{
  std::vector<std::pair<double, const FleetTarget*>> costs;
  double least = 0;
  for (const FleetTarget& it : aTargets) {
    if (it.mModel != aInput.mModel || aTried.contains(it.mVmId)) {
      continue;
    }
    const LoadedTarget loaded{ &it,
                               aLoads.Get(it.mVmId),
                               it.mZone == aInput.mZone };
    if (loaded.mLoad.mAvoidUntil > aInput.mNow) {
      continue;
    }
    const double cost = CostOf(loaded, aInput);
    least = costs.empty() ? cost : std::min(least, cost);
    costs.emplace_back(cost, &it);
  }
  std::erase_if(costs, [&](const auto& it) { return it.first > least + kTie; });
  if (costs.empty()) {
    return nullptr;
  }
  const auto n =
    static_cast<size_t>(aInput.mFraction * static_cast<double>(costs.size()));
  return costs[n].second;
}

} // namespace hibiscushold
