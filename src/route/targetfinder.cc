#include "route/targetfinder.h"

#include <algorithm>

namespace hibiscushold {

namespace {

bool
HasLeavingVm(const TargetIndex& aIndex, const Group& aGroup)
{
  return std::any_of(
    aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](auto& aMember) {
      const auto it = aIndex.mVmsById.find(aMember.mVm);
      return it != aIndex.mVmsById.end() &&
             it->second->mState == VmState::Leaving;
    });
}

/// Finds the latest load of a group's rank 0 member, from this node's own
/// probes or the slice reports of other members of the cluster.
std::optional<LoadReport>
FindLoadReport(const Group& aGroup, const ProbeTable& aProbes)
{
  const std::optional<ProbeResult> probe =
    aProbes.Find(aGroup.mMembers.front().mVm);
  const std::optional<SliceReport> report =
    aProbes.SliceReports().Find(aGroup.mId, 0);
  if (report && (!probe || report->mProbedAt > probe->mProbedAt)) {
    return LoadReport{ report->mProbedAt, report->mRunning, report->mQueued };
  }
  if (!probe) {
    return std::nullopt;
  }
  return LoadReport{ probe->mProbedAt,
                     probe->mStatus.mRunning,
                     probe->mStatus.mQueued };
}

} // namespace

TargetIndex
IndexTargets(ViewWatcher::ViewPtr aView, VmList::ListPtr aVms)
{
  TargetIndex index;
  index.mView = std::move(aView);
  index.mVms = std::move(aVms);
  for (const Vm& it : *index.mVms) {
    index.mVmsById[it.mId] = &it;
    if (it.mState == VmState::Live) {
      index.mLiveVmsByPool[it.mPool].push_back(&it);
    }
  }
  for (const auto& [name, domain] : index.mView->mDomains) {
    for (const Group& group : domain.mValue.mGroups) {
      if (!HasLeavingVm(index, group)) {
        index.mGroupsByRule[group.mRule].push_back(&group);
      }
    }
  }
  return index;
}

TargetFinder::TargetFinder(std::string aZone,
                           Dependencies aDependencies,
                           Duration aMaxProbeAge)
  : mZone(std::move(aZone))
  , mDependencies(aDependencies)
  , mMaxProbeAge(aMaxProbeAge)
{
}

std::vector<Candidate>
TargetFinder::Find(const RouteMatch& aMatch,
                   const std::set<std::string>& aTried) const
{
  const IndexPtr index = Index();
  std::vector<Candidate> candidates = aMatch.mGroup != nullptr
                                        ? FindGroups(*index, *aMatch.mGroup)
                                        : FindVms(*index, *aMatch.mService);
  const TimePoint now = mDependencies.mClock.Now();
  for (Candidate& it : candidates) {
    it.mInFlight = mDependencies.mInFlight.Count(it.mId);
    it.mLimit = mDependencies.mLimits.LimitOf(it.mId);
    it.mWeight = mDependencies.mHealth.WeightOf(it.mId, now);
    it.mTried = aTried.contains(it.mId);
  }
  return candidates;
}

TargetFinder::IndexPtr
TargetFinder::Index() const
{
  ViewWatcher::ViewPtr view = mDependencies.mViews.View();
  VmList::ListPtr vms = mDependencies.mVms.Vms();
  {
    const std::lock_guard guard(mLock);
    if (mIndex != nullptr && mIndex->mView == view && mIndex->mVms == vms) {
      return mIndex;
    }
  }
  auto index = std::make_shared<const TargetIndex>(
    IndexTargets(std::move(view), std::move(vms)));
  const std::lock_guard guard(mLock);
  mIndex = index;
  return index;
}

std::vector<Candidate>
TargetFinder::FindGroups(const TargetIndex& aIndex,
                         const GroupRule& aRule) const
{
  std::vector<Candidate> candidates;
  const auto groups = aIndex.mGroupsByRule.find(aRule.mName);
  if (groups == aIndex.mGroupsByRule.end()) {
    return candidates;
  }
  const TimePoint now = mDependencies.mClock.Now();
  for (const Group* group : groups->second) {
    if (!IsGroupServing(*group, mDependencies.mProbes, now, mMaxProbeAge)) {
      continue;
    }
    const GroupMember& firstMember = group->mMembers.front();
    const auto vm = aIndex.mVmsById.find(firstMember.mVm);
    Candidate candidate;
    candidate.mId = group->mId;
    candidate.mVmId = firstMember.mVm;
    candidate.mAddress = firstMember.mAddress;
    candidate.mGeneration = group->mGeneration;
    candidate.mSameZone =
      vm != aIndex.mVmsById.end() && vm->second->mZone == mZone;
    candidate.mLoadReport = FindLoadReport(*group, mDependencies.mProbes);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::vector<Candidate>
TargetFinder::FindVms(const TargetIndex& aIndex, const ServiceRule& aRule) const
{
  std::vector<Candidate> candidates;
  const auto vms = aIndex.mLiveVmsByPool.find(aRule.mPool);
  if (vms == aIndex.mLiveVmsByPool.end()) {
    return candidates;
  }
  for (const Vm* vm : vms->second) {
    Candidate candidate;
    candidate.mId = vm->mId;
    candidate.mVmId = vm->mId;
    candidate.mAddress = vm->mAddress;
    candidate.mSameZone = vm->mZone == mZone;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

} // namespace hibiscushold
