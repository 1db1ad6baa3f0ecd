#include "placement/formationcontext.h"

#include "observe/events.h"
#include "placement/believedvms.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Fraction of the shared load rate that this planner uses. The rest is left
/// for loads that a previous planner has started.
constexpr double kLoadRateFraction = 0.8;
constexpr auto kLoadRateWindow = seconds(5);
/// Joins take longer than the configured times of their model. The timeout of a
/// join is the sum of these times, multiplied by the factor, plus the margin.
constexpr double kJoinTimeoutFactor = 1.5;
constexpr auto kJoinTimeoutMargin = milliseconds(1500);
/// Before the first request, a load takes this fraction of its configured time.
constexpr double kEarlyLoadTimeFraction = 0.1;
/// VMs expected to be lost while a load runs, for each VM that serves the
/// model.
constexpr double kSpareRatio = 0.1;

/// @return whether the group is a single spare that is joining without a load,
///         which may still be used for another group
bool
IsJoiningSpare(const FormationContext& aContext, const PlannedGroup& aGroup)
{
  const FleetVm* vm = FindVm(aContext.mView.mVms, aGroup.mMembers[0]);
  return aGroup.mMembers.size() == 1 && aGroup.mStage == GroupStage::Forming &&
         vm != nullptr && HasModel(*vm, aGroup.mModel);
}

Duration
LoadTime(const FormationContext& aContext, const FleetModel& aModel)
{
  const double fraction =
    aContext.mView.mBeforeTraffic ? kEarlyLoadTimeFraction : 1;
  return std::chrono::duration_cast<Duration>(aModel.mLoadTime * fraction);
}

} // namespace

void
CollectFreeVms(FormationContext& aContext)
{
  std::set<std::string> unavailable;
  for (const auto& [key, group] : aContext.mState.mGroups) {
    if (group.mMembers.size() > 1) {
      // A group in a zone out of service serves nobody until the zone is back.
      const FleetVm* head = FindVm(aContext.mView.mVms, group.mMembers[0]);
      if (head == nullptr || !IsInZoneOut(aContext.mView, *head)) {
        aContext.mGroupsByModel[group.mModel] += 1;
      }
      aContext.mModelsByDomain[group.mDomain].insert(group.mModel);
      ++aContext.mGroupCounts[{ group.mDomain, group.mModel }];
    } else {
      if (IsJoiningSpare(aContext, group)) {
        aContext.mJoiningSpares[group.mMembers[0]] = key;
        continue;
      }
      ++aContext.mLoadingSpares[{ group.mDomain, group.mModel }];
    }
    unavailable.insert(group.mMembers.begin(), group.mMembers.end());
  }
  for (const auto& [id, vm] : aContext.mView.mVms) {
    if (vm.mService != aContext.mView.mService || vm.mState != VmState::Live) {
      continue;
    }
    const Availability availability =
      AvailabilityOf(aContext.mState, aContext.mView, vm, aContext.mNow);
    if (availability == Availability::Unresponsive ||
        availability == Availability::ZoneOut) {
      continue;
    }
    ++aContext.mLive;
    if (unavailable.contains(id)) {
      continue;
    }
    if (availability == Availability::Free) {
      aContext.mFree[vm.mDomain].push_back(&vm);
    } else if (availability == Availability::Unproven) {
      // Without the VMs whose reports are about to arrive, a plan would be made
      // for too few.
      aContext.mAwaitsProof |=
        AskForProof(aContext.mState, id, aContext.mStep, aContext.mNow);
    }
  }
}

double
FillRatio(const FormationContext& aContext, const FleetModel& aModel)
{
  const auto found = aContext.mGroupsByModel.find(aModel.mName);
  const double groups =
    found == aContext.mGroupsByModel.end() ? 0 : found->second;
  return groups * aModel.mSize /
         std::max(aModel.mShare * static_cast<double>(aContext.mLive), 1e-9);
}

JoinCost
JoinCostOf(const FormationContext& aContext,
           const FleetVm& aVm,
           const std::string& aModel)
{
  const auto planned = aContext.mState.mVms.find(aVm.mId);
  const bool staged = HasModel(aVm, aModel);
  if (staged && planned->second.mLastStartedModel == aModel) {
    return JoinCost::StartedLast;
  }
  return staged ? JoinCost::Warm : JoinCost::Load;
}

std::vector<FreeVm>
SortFreeVms(const FormationContext& aContext,
            const std::string& aDomain,
            const std::string& aModel)
{
  std::vector<FreeVm> sorted;
  const auto found = aContext.mFree.find(aDomain);
  if (found == aContext.mFree.end()) {
    return sorted;
  }
  for (const FleetVm* it : found->second) {
    sorted.push_back({ it->mId, JoinCostOf(aContext, *it, aModel) });
  }
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const FreeVm& aL, const FreeVm& aR) {
      return aL.mCost < aR.mCost;
    });
  return sorted;
}

size_t
LoadsAllowed(FormationContext& aContext)
{
  // The load of a VM that is gone has ended.
  const FleetVms& vms = aContext.mView.mVms;
  const auto running = static_cast<size_t>(std::count_if(
    aContext.mState.mVms.begin(), aContext.mState.mVms.end(), [&](auto& it) {
      return it.second.mLoadingUntil > aContext.mNow && vms.contains(it.first);
    }));
  const size_t maxLoads = aContext.mView.mEngine.mLoadsAtOnce;
  const size_t free = maxLoads > running ? maxLoads - running : 0;
  if (aContext.mView.mBeforeTraffic) {
    return free;
  }
  while (!aContext.mState.mLoads.empty() &&
         aContext.mState.mLoads.front() + kLoadRateWindow < aContext.mNow) {
    aContext.mState.mLoads.pop_front();
  }
  const double rate =
    aContext.mView.mEngine.mLoadsPerSecond * kLoadRateFraction;
  const auto maxInWindow =
    static_cast<size_t>(rate * static_cast<double>(kLoadRateWindow.count()));
  const size_t left = maxInWindow > aContext.mState.mLoads.size()
                        ? maxInWindow - aContext.mState.mLoads.size()
                        : 0;
  return std::min(free, left);
}

double
ExpectedLosses(FormationContext& aContext,
               const std::string& aDomain,
               const FleetModel& aModel)
{
  const size_t members =
    aContext.mGroupCounts[{ aDomain, aModel.mName }] * aModel.mSize;
  return static_cast<double>(members) * kSpareRatio;
}

size_t
WantedSpares(FormationContext& aContext,
             const std::string& aDomain,
             const FleetModel& aModel)
{
  return static_cast<size_t>(
    std::ceil(ExpectedLosses(aContext, aDomain, aModel)));
}

void
RemoveFreeVm(FormationContext& aContext,
             const std::string& aDomain,
             const std::string& aVmId)
{
  std::erase_if(aContext.mFree[aDomain],
                [&](const FleetVm* it) { return it->mId == aVmId; });
}

void
RecordLoad(FormationContext& aContext,
           const FreeVm& aVm,
           const FleetModel& aModel)
{
  if (aVm.mCost != JoinCost::Load) {
    return;
  }
  PlannedVm& planned = aContext.mState.mVms[aVm.mId];
  planned.mLoadingModel = aModel.mName;
  planned.mLoadingUntil = aContext.mNow + LoadTime(aContext, aModel);
  if (!aContext.mView.mBeforeTraffic) {
    aContext.mState.mLoads.push_back(aContext.mNow);
  }
}

void
OrderJoins(FormationContext& aContext,
           const FleetModel& aModel,
           const std::string& aDomain,
           const std::vector<std::string>& aMembers,
           size_t aLoads)
{
  const uint64_t epoch = ++aContext.mState.mLastEpoch;
  const GroupKey key{ "g" + std::to_string(epoch), epoch };
  const Duration join =
    aModel.mWarmStartTime +
    (aLoads > 0 ? LoadTime(aContext, aModel) * 2 : Duration::zero());
  const Duration limit =
    std::chrono::duration_cast<Duration>(join * kJoinTimeoutFactor) +
    kJoinTimeoutMargin;
  aContext.mState.mGroups.emplace(
    key,
    PlannedGroup{ aModel.mName,
                  aDomain,
                  aMembers,
                  GroupStage::Forming,
                  aContext.mNow + limit,
                  aContext.mNow + kOrderRepeatInterval });
  for (const std::string& it : aMembers) {
    aContext.mStep.mOrders.push_back(
      { OrderKind::Join,
        it,
        aContext.mState.mVms[it].mAddress,
        key,
        aModel.mName,
        aMembers,
        aContext.mState.mFence,
        aContext.mState.mVms[it].mFacts.mOrderCount });
  }
  LogEvent(
    EventId::FleetGroupChanged,
    { { "group", key.mName },
      { "epoch", std::to_string(epoch) },
      { "model", aModel.mName },
      { "domain", aDomain },
      { "head", aMembers[0] },
      { "change", aMembers.size() == aModel.mSize ? "forming" : "spare" },
      { "loads", std::to_string(aLoads) } });
}

} // namespace hibiscushold
