#include "fleet/choice.h"

#include "fleet/shedding.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Another zone adds some milliseconds to each event, and its bytes cost more
/// than a short wait is worth.
constexpr double kOtherZoneMillis = 48;
/// A head that is silent for most of a usual pause may have lost a VM.
constexpr double kQuietPart = 0.35;
constexpr double kQuietMillis = 480;
/// A request costs others more than its part of a pass: it takes memory, and
/// those that come later read their prompts beside it.
constexpr double kLeastMillisPerRequest = 2;
/// Nodes that choose at the same moment do not see each other, so each spreads
/// its requests: a target that costs more by this is chosen e times less often.
constexpr double kSpreadMillis = 10;
/// Targets that cost more than the least by this are not chosen.
constexpr double kMostSpreadMillis = 40;
/// A pass may take longer than computed by this part, and an event needs time
/// to cross zones.
constexpr double kPauseFactor = 1.5;
constexpr double kPauseMargin = 60;
constexpr auto kLeastPause = milliseconds(130);
/// Streams of others that must have moved before their silence says anything;
/// one alone may pause for a packet that was lost.
constexpr uint32_t kWitnesses = 2;

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
    aInto.mByService[aService.mName].push_back(
      { head.mId,
        head.mAddress,
        head.mZone,
        it.mModel,
        it.mKey,
        aService.mEngine->mSlots,
        aService.mEngine->TimesOf(*model) });
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
        { id, vm.mAddress, vm.mZone, "", {}, vm.mSlots, {} });
    }
  }
  return targets;
}

double
CostOf(const LoadedTarget& aTarget, const ChoiceInput& aInput)
{
  const TargetLoad& load = aTarget.mLoad;
  const TargetTimes& times = aTarget.mTarget->mTimes;
  const TargetDemand& others = load.mOthers;
  const double requests =
    load.mInFlight + others.mWaiting + others.mStreaming + 1.0;
  const auto tokens =
    static_cast<double>(load.mWaitingTokens + others.mWaitingTokens);
  double cost =
    requests * std::max(times.mMillisPerRequest, kLeastMillisPerRequest);
  cost += tokens * times.mMillisPerToken;
  // Waits that the target's work does not explain show that it is slow.
  cost += std::max(0.0,
                   ExpectedFirstMillis(load, aInput.mNow) -
                     static_cast<double>(ExplainedPause(times, load).count()));
  const bool quiet =
    load.mStreaming > 0 && aInput.mNow - load.mLastProgress >
                             UsualPause(load, StallLimits{}) * kQuietPart;
  cost += quiet ? kQuietMillis : 0;
  return aTarget.mSameZone ? cost : cost + kOtherZoneMillis;
}

milliseconds
ExplainedPause(const TargetTimes& aTimes, const TargetLoad& aLoad)
{
  const uint32_t streams = aLoad.mStreaming + aLoad.mOthers.mStreaming;
  const auto tokens =
    static_cast<double>(aLoad.mWaitingTokens + aLoad.mOthers.mWaitingTokens);
  const double pass = aTimes.mPassMillis + streams * aTimes.mMillisPerRequest +
                      tokens * aTimes.mMillisPerToken;
  return milliseconds(static_cast<int64_t>(pass * kPauseFactor + kPauseMargin));
}

bool
IsSilentForAll(const TargetTimes& aTimes,
               const TargetLoad& aLoad,
               TimePoint aNow)
{
  if (aLoad.mOthers.mStreaming < kWitnesses) {
    return false;
  }
  const TimePoint since = std::max(
    { aLoad.mBusySince, aLoad.mLastProgress, aLoad.mOthers.mProgressAt });
  // A slow engine is known by its gaps.
  const auto seen =
    static_cast<int64_t>(aLoad.mGapMillis * kPauseFactor + kPauseMargin);
  const milliseconds limit =
    std::max(ExplainedPause(aTimes, aLoad), milliseconds(seen));
  return aNow - since > std::clamp(limit, kLeastPause, StallLimits{}.mMost);
}

bool
IsStalled(const FleetTarget& aTarget, const TargetLoad& aLoad, TimePoint aNow)
{
  if (aLoad.mOthers.mStreaming < kWitnesses) {
    return IsStalled(aLoad, aNow, StallLimits{});
  }
  return aLoad.mInFlight > 0 && IsSilentForAll(aTarget.mTimes, aLoad, aNow);
}

namespace {

struct CostedTarget
{
  double mCost = 0;
  const FleetTarget* mTarget = nullptr;
};

/// @param aCosts the cheapest first
/// @return a target, cheaper ones more often, or null when there is none
const FleetTarget*
PickBySpread(const std::vector<CostedTarget>& aCosts, double aFraction)
{
  const auto weight = [&](const CostedTarget& aIt) {
    const double more = aIt.mCost - aCosts.front().mCost;
    return more > kMostSpreadMillis ? 0 : std::exp(-more / kSpreadMillis);
  };
  double sum = 0;
  for (const CostedTarget& it : aCosts) {
    sum += weight(it);
  }
  double left = aFraction * sum;
  for (const CostedTarget& it : aCosts) {
    left -= weight(it);
    if (left < 0) {
      return it.mTarget;
    }
  }
  return aCosts.empty() ? nullptr : aCosts.front().mTarget;
}

} // namespace

const FleetTarget*
ChooseTarget(std::span<const FleetTarget> aTargets,
             const TargetLoads& aLoads,
             const ChoiceInput& aInput,
             const std::set<std::string>& aTried)
{
  std::vector<CostedTarget> costs;
  for (const FleetTarget& it : aTargets) {
    if (it.mModel != aInput.mModel || aTried.contains(it.mVmId)) {
      continue;
    }
    const LoadedTarget loaded{ &it,
                               aLoads.Get(it.mVmId),
                               it.mZone == aInput.mZone };
    if (loaded.mLoad.mAvoidUntil <= aInput.mNow) {
      costs.push_back({ CostOf(loaded, aInput), &it });
    }
  }
  std::stable_sort(costs.begin(), costs.end(), [](auto& aL, auto& aR) {
    return aL.mCost < aR.mCost;
  });
  return PickBySpread(costs, aInput.mFraction);
}

} // namespace hibiscushold
