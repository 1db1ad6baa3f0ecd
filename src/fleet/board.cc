#include "fleet/board.h"

#include "observe/events.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Loads start at this part of the common rate, which also covers those of an
/// earlier planner.
constexpr double kLoadPart = 0.8;
constexpr auto kLoadWindow = seconds(5);
/// A join takes longer than its model states by this factor and time.
constexpr double kJoinFactor = 1.5;
constexpr auto kJoinMargin = milliseconds(1500);
/// Loads before the first request take this part of their time.
constexpr double kEarlyLoadPart = 0.1;
/// Spares that a domain should hold for each VM that serves the model there.
constexpr double kSparePart = 0.1;

/// A spare that joins without a load may be called up for a group.
bool
IsWarmingSpare(const Board& aBoard, const PlannedGroup& aGroup)
{
  const FleetVm* vm = FindVm(aBoard.mView.mVms, aGroup.mMembers[0]);
  return aGroup.mMembers.size() == 1 && aGroup.mStage == GroupStage::Forming &&
         vm != nullptr &&
         std::find(vm->mStaged.begin(), vm->mStaged.end(), aGroup.mModel) !=
           vm->mStaged.end();
}

Duration
LoadTime(const Board& aBoard, const FleetModel& aModel)
{
  const double part = aBoard.mView.mBeforeTraffic ? kEarlyLoadPart : 1;
  return std::chrono::duration_cast<Duration>(aModel.mLoad * part);
}

} // namespace

void
FindFree(Board& aBoard)
{
  std::set<std::string> taken;
  for (const auto& [key, group] : aBoard.mState.mGroups) {
    if (group.mMembers.size() > 1) {
      aBoard.mServing[group.mModel] += 1;
      aBoard.mModelsIn[group.mDomain].insert(group.mModel);
      ++aBoard.mGroupsIn[{ group.mDomain, group.mModel }];
    } else {
      if (IsWarmingSpare(aBoard, group)) {
        aBoard.mWarming[group.mMembers[0]] = key;
        continue;
      }
      ++aBoard.mLoadingIn[{ group.mDomain, group.mModel }];
    }
    taken.insert(group.mMembers.begin(), group.mMembers.end());
  }
  for (const auto& [id, vm] : aBoard.mView.mVms) {
    if (vm.mService != aBoard.mView.mService || vm.mState != VmState::Live) {
      continue;
    }
    const VmBelief& belief = aBoard.mState.mVms[id];
    if (belief.mSilentUntil > aBoard.mNow) {
      continue;
    }
    ++aBoard.mLive;
    if (!taken.contains(id) && !IsServingHead(&vm) &&
        !IsLocked(aBoard.mState, aBoard.mView.mVms, id, aBoard.mNow)) {
      aBoard.mFree[vm.mDomain].push_back(&vm);
    }
  }
}

double
FilledBy(const Board& aBoard, const FleetModel& aModel)
{
  const auto serving = aBoard.mServing.find(aModel.mName);
  const double groups = serving == aBoard.mServing.end() ? 0 : serving->second;
  return groups * aModel.mSize /
         std::max(aModel.mShare * static_cast<double>(aBoard.mLive), 1e-9);
}

JoinCost
CostOf(const Board& aBoard, const FleetVm& aVm, const std::string& aModel)
{
  const auto belief = aBoard.mState.mVms.find(aVm.mId);
  const bool staged =
    std::find(aVm.mStaged.begin(), aVm.mStaged.end(), aModel) !=
    aVm.mStaged.end();
  if (staged && belief->second.mLastModel == aModel) {
    return JoinCost::Again;
  }
  return staged ? JoinCost::Warm : JoinCost::Load;
}

std::vector<FreeVm>
RankedVms(const Board& aBoard,
          const std::string& aDomain,
          const std::string& aModel)
{
  std::vector<FreeVm> ranked;
  const auto found = aBoard.mFree.find(aDomain);
  if (found == aBoard.mFree.end()) {
    return ranked;
  }
  for (const FleetVm* it : found->second) {
    ranked.push_back({ it->mId, CostOf(aBoard, *it, aModel) });
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const FreeVm& aL, const FreeVm& aR) {
      return aL.mCost < aR.mCost;
    });
  return ranked;
}

size_t
LoadsAllowed(Board& aBoard)
{
  const size_t running = static_cast<size_t>(std::count_if(
    aBoard.mState.mVms.begin(), aBoard.mState.mVms.end(), [&](auto& it) {
      return it.second.mLoadingUntil > aBoard.mNow;
    }));
  const size_t most = aBoard.mView.mEngine.mLoadsAtOnce;
  const size_t free = most > running ? most - running : 0;
  if (aBoard.mView.mBeforeTraffic) {
    return free;
  }
  while (!aBoard.mState.mLoads.empty() &&
         aBoard.mState.mLoads.front() + kLoadWindow < aBoard.mNow) {
    aBoard.mState.mLoads.pop_front();
  }
  const double rate = aBoard.mView.mEngine.mLoadsPerSecond * kLoadPart;
  const auto inWindow =
    static_cast<size_t>(rate * static_cast<double>(kLoadWindow.count()));
  const size_t left = inWindow > aBoard.mState.mLoads.size()
                        ? inWindow - aBoard.mState.mLoads.size()
                        : 0;
  return std::min(free, left);
}

size_t
WantedSpares(Board& aBoard,
             const std::string& aDomain,
             const FleetModel& aModel)
{
  const size_t seats =
    aBoard.mGroupsIn[{ aDomain, aModel.mName }] * aModel.mSize;
  return static_cast<size_t>(
    std::ceil(static_cast<double>(seats) * kSparePart));
}

void
Take(Board& aBoard, const std::string& aDomain, const std::string& aVmId)
{
  std::erase_if(aBoard.mFree[aDomain],
                [&](const FleetVm* it) { return it->mId == aVmId; });
}

void
NoteCost(Board& aBoard, const FreeVm& aVm, const FleetModel& aModel)
{
  if (aVm.mCost != JoinCost::Load) {
    return;
  }
  aBoard.mState.mVms[aVm.mId].mLoadingUntil =
    aBoard.mNow + LoadTime(aBoard, aModel);
  if (!aBoard.mView.mBeforeTraffic) {
    aBoard.mState.mLoads.push_back(aBoard.mNow);
  }
}

void
OrderJoins(Board& aBoard,
           const FleetModel& aModel,
           const std::string& aDomain,
           const std::vector<std::string>& aMembers,
           size_t aLoads)
{
  const uint64_t epoch = ++aBoard.mState.mLastEpoch;
  const GroupKey key{ "g" + std::to_string(epoch), epoch };
  const Duration join =
    aModel.mWarm +
    (aLoads > 0 ? LoadTime(aBoard, aModel) * 2 : Duration::zero());
  const Duration limit =
    std::chrono::duration_cast<Duration>(join * kJoinFactor) + kJoinMargin;
  aBoard.mState.mGroups.emplace(key,
                                PlannedGroup{ aModel.mName,
                                              aDomain,
                                              aMembers,
                                              GroupStage::Forming,
                                              aBoard.mNow + limit,
                                              aBoard.mNow + kOrderAgain });
  for (const std::string& it : aMembers) {
    aBoard.mOrders.push_back({ OrderKind::Join,
                               it,
                               aBoard.mState.mVms[it].mAddress,
                               key,
                               aModel.mName,
                               aMembers,
                               aBoard.mState.mFence });
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
