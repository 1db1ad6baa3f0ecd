#include "fleet/targetchoice.h"

#include "fleet/forecast.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Added for a target in another zone: each event takes some milliseconds
/// longer, and the traffic between zones costs more than a short wait is worth.
constexpr double kOtherZoneCostMillis = 48;
/// A head whose streams have been silent for this fraction of its usual pause
/// costs kSilentCostMillis more, as its group may have lost a VM.
constexpr double kSilentPauseFraction = 0.35;
constexpr double kSilentCostMillis = 480;
/// Added where the first event is expected to be late, so that another target
/// goes first if the request would be on time there.
constexpr double kLateCostMillis = 240;
/// A request costs other requests more than its share of a pass: it occupies
/// memory, and the prompts of later requests are processed alongside it.
constexpr double kMinMillisPerRequest = 2;
/// Nodes that choose at the same moment do not see each other's choices, so
/// each chooses at random: a target that costs this much more is e times less
/// likely to be chosen.
constexpr double kCostScaleMillis = 10;
/// Targets that cost this much more than the cheapest are not chosen.
constexpr double kMaxExtraCostMillis = 40;
/// A pass may take longer than computed by this factor, and an event between
/// zones may take up to the margin.
constexpr double kPauseFactor = 1.5;
constexpr double kPauseMarginMillis = 60;
constexpr auto kMinPause = milliseconds(130);
/// Streams that other nodes must have at a target before their silence counts;
/// a single stream may pause because of a lost packet.
constexpr uint32_t kMinOtherStreams = 2;

/// @return whether one of the group's VMs is in a zone out of service
bool
HasMemberIn(const ObservedGroup& aGroup, const ZonesOut& aZones)
{
  return std::any_of(
    aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](const auto& it) {
      return IsOut(aZones, it.second->mZone);
    });
}

void
AddGroups(const FleetVms& aVms,
          const FleetService& aService,
          const ZonesOut& aZones,
          FleetTargets& aInto)
{
  for (const ObservedGroup& it : FindGroups(aVms, aService.mName)) {
    const FleetModel* model = aService.mEngine->FindModel(it.mModel);
    if (model == nullptr || !IsComplete(it, model->mSize) ||
        HeadOf(it)->mMembership->mPhase != MembershipPhase::Open ||
        HasMemberIn(it, aZones)) {
      continue;
    }
    const FleetVm& head = *HeadOf(it);
    aInto.mByService[aService.mName].push_back(
      { head.mId,
        head.mAddress,
        head.mZone,
        it.mModel,
        it.mKey,
        aService.mEngine->mSlots,
        aService.mEngine->TimesOf(*model),
        head.mStartedMillis,
        head.mColdUntil });
  }
}

} // namespace

FleetTargets
FindTargets(const FleetVms& aVms,
            const FleetConfig& aConfig,
            const ZonesOut& aZones)
{
  FleetTargets targets;
  for (const auto& [name, service] : aConfig.mServices) {
    if (service.mEngine) {
      AddGroups(aVms, service, aZones, targets);
    }
  }
  for (const auto& [id, vm] : aVms) {
    const auto service = aConfig.mServices.find(vm.mService);
    const bool plain =
      service != aConfig.mServices.end() && !service->second.mEngine;
    if (plain && vm.mState == VmState::Live && !IsOut(aZones, vm.mZone)) {
      targets.mByService[vm.mService].push_back({ id,
                                                  vm.mAddress,
                                                  vm.mZone,
                                                  "",
                                                  {},
                                                  vm.mSlots,
                                                  {},
                                                  vm.mStartedMillis,
                                                  vm.mColdUntil });
    }
  }
  return targets;
}

std::map<std::string, uint32_t>
FindOddRanks(const FleetVms& aVms, const FleetConfig& aConfig)
{
  std::map<std::string, uint32_t> ranks;
  for (const auto& [id, vm] : aVms) {
    const auto service = aConfig.mServices.find(vm.mService);
    if (!vm.mMembership || service == aConfig.mServices.end() ||
        !service->second.mEngine) {
      continue;
    }
    const FleetModel* model =
      service->second.mEngine->FindModel(vm.mMembership->mModel);
    if (model != nullptr && vm.mMembership->mRank >= model->mSize) {
      ranks[id] = vm.mMembership->mRank;
    }
  }
  return ranks;
}

bool
IsListed(const FleetTargets& aTargets,
         std::string_view aService,
         const FleetTarget& aTarget)
{
  const auto found = aTargets.mByService.find(aService);
  return found != aTargets.mByService.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const auto& it) {
             return it.mVmId == aTarget.mVmId &&
                    it.mStartedMillis == aTarget.mStartedMillis &&
                    it.mGroup == aTarget.mGroup;
           });
}

bool
IsTooLate(const LoadedTarget& aTarget, const ChoiceInput& aInput)
{
  if (aInput.mOnTimeUntil == TimePoint{}) {
    return false;
  }
  const double wait = std::max(ForecastFirstEvent(aTarget.mTarget->mTimes,
                                                  aTarget.mTarget->mSlots,
                                                  aTarget.mLoad,
                                                  aInput.mPromptTokens),
                               aInput.mLeastFirstEventMillis);
  return aInput.mNow + std::chrono::duration<double, std::milli>(wait) >
         aInput.mOnTimeUntil;
}

double
RequestCost(const LoadedTarget& aTarget, const ChoiceInput& aInput)
{
  const TargetLoad& load = aTarget.mLoad;
  const TargetTimes& times = aTarget.mTarget->mTimes;
  const TargetDemand& others = load.mOthers;
  const double requests =
    load.mInFlight + others.mWaiting + others.mStreaming + 1.0;
  const auto tokens =
    static_cast<double>(load.mWaitingTokens + others.mWaitingTokens);
  double cost =
    requests * std::max(times.mMillisPerRequest, kMinMillisPerRequest);
  cost += tokens * times.mMillisPerToken;
  // Waits beyond the expected pause show that the target is slow.
  cost += std::max(0.0,
                   MeasuredFirstEventMillis(load, aInput.mNow) -
                     static_cast<double>(ExpectedPause(times, load).count()));
  const bool silent = load.mStreaming > 0 &&
                      aInput.mNow - load.mLastProgress >
                        UsualPause(load, StallLimits{}) * kSilentPauseFraction;
  cost += silent ? kSilentCostMillis : 0;
  cost += IsTooLate(aTarget, aInput) ? kLateCostMillis : 0;
  return aTarget.mSameZone ? cost : cost + kOtherZoneCostMillis;
}

milliseconds
ExpectedPause(const TargetTimes& aTimes, const TargetLoad& aLoad)
{
  const uint32_t streams = aLoad.mStreaming + aLoad.mOthers.mStreaming;
  const auto tokens =
    static_cast<double>(aLoad.mWaitingTokens + aLoad.mOthers.mWaitingTokens);
  const double pass = aTimes.mPassMillis + streams * aTimes.mMillisPerRequest +
                      tokens * aTimes.mMillisPerToken;
  return milliseconds(
    static_cast<int64_t>(pass * kPauseFactor + kPauseMarginMillis));
}

bool
IsSilentToAllNodes(const TargetTimes& aTimes,
                   const TargetLoad& aLoad,
                   TimePoint aNow)
{
  if (aLoad.mOthers.mStreaming < kMinOtherStreams) {
    return false;
  }
  const TimePoint since = std::max(
    { aLoad.mBusySince, aLoad.mLastProgress, aLoad.mOthers.mProgressAt });
  // A slow engine shows in its average gap between events.
  const auto usualPause =
    static_cast<int64_t>(aLoad.mGapMillis * kPauseFactor + kPauseMarginMillis);
  const milliseconds limit =
    std::max(ExpectedPause(aTimes, aLoad), milliseconds(usualPause));
  return aNow - since > std::clamp(limit, kMinPause, StallLimits{}.mMax);
}

bool
IsStalled(const FleetTarget& aTarget, const TargetLoad& aLoad, TimePoint aNow)
{
  if (aLoad.mOthers.mStreaming < kMinOtherStreams) {
    return IsStalled(aLoad, aNow, StallLimits{});
  }
  return aLoad.mInFlight > 0 && IsSilentToAllNodes(aTarget.mTimes, aLoad, aNow);
}

namespace {

struct CostedTarget
{
  double mCost = 0;
  const FleetTarget* mTarget = nullptr;
};

/// @param aCosts sorted, the cheapest first
/// @param aFraction random, at least 0 and less than 1
/// @return a target, cheaper ones with a higher probability, or null when there
///         is none
const FleetTarget*
PickWeighted(const std::vector<CostedTarget>& aCosts, double aFraction)
{
  const auto weight = [&](const CostedTarget& aIt) {
    const double extra = aIt.mCost - aCosts.front().mCost;
    return extra > kMaxExtraCostMillis ? 0
                                       : std::exp(-extra / kCostScaleMillis);
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

bool
IsLeaving(const FleetTarget& aTarget, const TargetLoad& aLoad)
{
  return aLoad.mLeavingStart == aTarget.mStartedMillis;
}

TimePoint
NextColdTurn(const FleetTarget& aTarget,
             const TargetLoad& aLoad,
             TimePoint aNow)
{
  if (aTarget.mColdUntil <= aNow) {
    return TimePoint::min();
  }
  if (!(aTarget.mColdPerSecond > 0)) {
    return aTarget.mColdUntil;
  }
  const TimePoint turn =
    std::max(aLoad.mNextColdTurnAt, aTarget.mColdTurnsFrom);
  return std::min(turn, aTarget.mColdUntil);
}

std::optional<TimePoint>
EndOfQuiet(std::span<const FleetTarget> aTargets,
           const TargetLoads& aLoads,
           const ChoiceInput& aInput)
{
  std::optional<TimePoint> earliest;
  for (const FleetTarget& it : aTargets) {
    const TargetLoad load = aLoads.Get(it.mVmId);
    if (it.mModel != aInput.mModel || IsLeaving(it, load)) {
      continue;
    }
    const TimePoint freeAt =
      std::max(load.mQuietUntil, NextColdTurn(it, load, aInput.mNow));
    if (freeAt <= aInput.mNow) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(TimePoint::max()), freeAt);
  }
  return earliest;
}

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
    const TimePoint freeAt =
      std::max({ EndOfAvoidance(loaded.mLoad),
                 loaded.mLoad.mQuietUntil,
                 NextColdTurn(it, loaded.mLoad, aInput.mNow) });
    if (freeAt <= aInput.mNow && !IsLeaving(it, loaded.mLoad)) {
      costs.push_back({ RequestCost(loaded, aInput), &it });
    }
  }
  std::stable_sort(costs.begin(), costs.end(), [](auto& aL, auto& aR) {
    return aL.mCost < aR.mCost;
  });
  return PickWeighted(costs, aInput.mFraction);
}

} // namespace hibiscushold
