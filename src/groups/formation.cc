#include "groups/formation.h"

#include "groups/rollout.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

/// How long a leaving copy keeps serving while its successor forms.
constexpr auto kSuccessorWait = milliseconds(1500);

class Planner
{
public:
  Planner(const Rules& aRules, const DomainInput& aInput, TimePoint aNow)
    : mRules(aRules)
    , mInput(aInput)
    , mNow(aNow)
    , mNext(aInput.mCurrent)
  {
    for (const Group& group : mNext.mGroups) {
      for (const GroupMember& it : group.mMembers) {
        mUsed.insert(it.mVm);
      }
    }
  }

  Domain Run()
  {
    for (Group& it : mNext.mGroups) {
      Advance(it);
    }
    std::erase_if(mNext.mGroups,
                  [](const Group& it) { return it.mMembers.empty(); });
    for (const GroupRule& it : mRules.mGroups) {
      AdjustCopies(it);
    }
    return std::move(mNext);
  }

private:
  void Advance(Group& aGroup)
  {
    switch (aGroup.mPhase) {
      case GroupPhase::Forming:
      case GroupPhase::Serving:
        AdvanceActive(aGroup);
        return;
      case GroupPhase::Draining:
        AdvanceDraining(aGroup);
        return;
      case GroupPhase::Retiring:
        AdvanceRetiring(aGroup);
        return;
    }
  }

  void AdvanceActive(Group& aGroup)
  {
    const GroupRule* rule = FindRule(mRules.mGroups, aGroup.mRule);
    if (rule == nullptr) {
      aGroup.mPhase = GroupPhase::Draining;
      return;
    }
    if (HasMissingMember(aGroup)) {
      Repair(aGroup, *rule);
      return;
    }
    if (aGroup.mPhase == GroupPhase::Forming) {
      aGroup.mPhase =
        IsReady(aGroup) ? GroupPhase::Serving : GroupPhase::Forming;
    } else if (!IsReady(aGroup)) {
      // An engine has lost its assignment; a new generation assigns it again.
      ++aGroup.mGeneration;
      aGroup.mPhase = GroupPhase::Forming;
    }
  }

  /// Retires a draining group once routers have stopped sending requests to it
  /// and its last request has completed.
  void AdvanceDraining(Group& aGroup)
  {
    const ObservedVm* vm = FindVm(mInput.mVms, aGroup.mMembers.front().mVm);
    const auto times = mInput.mTimes.find(aGroup.mId);
    if (vm == nullptr || HasMissingMember(aGroup)) {
      aGroup.mPhase = GroupPhase::Retiring;
      return;
    }
    if (times == mInput.mTimes.end()) {
      return;
    }
    const TimePoint routersStopped =
      times->second.mPhaseSince + mInput.mMaxProbeAge;
    const ProbeResult& probe = *vm->mLastProbe;
    const bool idle = probe.mStatus.mRunning == 0 && probe.mStatus.mQueued == 0;
    if (probe.mProbedAt >= routersStopped && idle) {
      aGroup.mPhase = GroupPhase::Retiring;
    }
  }

  /// Removes a retiring group's members once they have been released for the
  /// maximum probe age, so that no router still regards them as part of the
  /// group.
  void AdvanceRetiring(Group& aGroup)
  {
    const auto times = mInput.mTimes.find(aGroup.mId);
    if (times == mInput.mTimes.end() || !times->second.mReleasedAt) {
      return;
    }
    if (mNow >= *times->second.mReleasedAt + mInput.mMaxProbeAge) {
      for (const GroupMember& it : aGroup.mMembers) {
        mUsed.erase(it.mVm);
      }
      aGroup.mMembers.clear();
    }
  }

  void Repair(Group& aGroup, const GroupRule& aRule)
  {
    std::vector<GroupMember> members;
    for (const GroupMember& it : aGroup.mMembers) {
      if (IsVmPresent(mInput, it, mNow)) {
        members.push_back(it);
      }
    }
    const size_t missing = aGroup.mMembers.size() - members.size();
    FreeRestarted(aGroup);
    std::vector<GroupMember> spares = FindFree(aRule, missing);
    const bool outdated = IsOutdated(aGroup, aRule);
    if (spares.size() < missing || outdated) {
      const bool enoughSoon = spares.size() + CountSoonFree(aRule) >= missing;
      if (!enoughSoon || outdated) {
        aGroup.mPhase = GroupPhase::Retiring;
      }
      // The VMs must not join another group while this one still records them.
      for (const GroupMember& it : aGroup.mMembers) {
        mUsed.insert(it.mVm);
      }
      return;
    }
    for (GroupMember& it : spares) {
      mUsed.insert(it.mVm);
      members.push_back(std::move(it));
    }
    aGroup.mMembers = std::move(members);
    ++aGroup.mGeneration;
    aGroup.mPhase = GroupPhase::Forming;
  }

  /// Marks restarted members as unused: the incarnation that the group records
  /// no longer exists.
  void FreeRestarted(const Group& aGroup)
  {
    for (const GroupMember& it : aGroup.mMembers) {
      const ObservedVm* vm = FindVm(mInput.mVms, it.mVm);
      if (vm != nullptr && vm->mVm.mIncarnation != it.mIncarnation) {
        mUsed.erase(it.mVm);
      }
    }
  }

  size_t CountSoonFree(const GroupRule& aRule) const
  {
    return static_cast<size_t>(std::count_if(
      mInput.mVms.begin(), mInput.mVms.end(), [&](const ObservedVm& aVm) {
        return aVm.mVm.mPool == aRule.mPool && !mUsed.contains(aVm.mVm.mId) &&
               MayBecomeFree(mInput, aVm, aRule.mFencingMode, mNow);
      }));
  }

  void AdjustCopies(const GroupRule& aRule)
  {
    const auto wanted = mInput.mCopies.find(aRule.mName);
    const uint32_t copies = wanted == mInput.mCopies.end() ? 0 : wanted->second;
    const RolloutStep step = DecideRollout(CopiesOf(aRule), copies, mNow);
    uint32_t formed = 0;
    while (formed < step.mForm && Form(aRule)) {
      ++formed;
    }
    Drain(step.mDrain);
    if (formed == 0) {
      Drain(step.mDrainIfNoRoom);
    }
  }

  std::vector<Copy> CopiesOf(const GroupRule& aRule) const
  {
    std::vector<Copy> copies;
    for (const Group& it : mNext.mGroups) {
      if (it.mRule != aRule.mName) {
        continue;
      }
      Copy copy{ it.mId, CopyState::Ending, IsOutdated(it, aRule), false, {} };
      if (it.mPhase == GroupPhase::Serving) {
        copy.mState = CopyState::Serving;
      } else if (it.mPhase == GroupPhase::Forming) {
        copy.mState = CopyState::Forming;
      }
      SetLeaving(it, copy);
      copies.push_back(std::move(copy));
    }
    return copies;
  }

  void SetLeaving(const Group& aGroup, Copy& aCopy) const
  {
    for (const GroupMember& it : aGroup.mMembers) {
      const ObservedVm* vm = FindVm(mInput.mVms, it.mVm);
      if (vm == nullptr || vm->mVm.mState != VmState::Leaving) {
        continue;
      }
      const TimePoint deadline =
        vm->mTimes.mLeavingSince.value_or(mNow) + kSuccessorWait;
      aCopy.mDrainDeadline =
        aCopy.mLeaving ? std::min(aCopy.mDrainDeadline, deadline) : deadline;
      aCopy.mLeaving = true;
    }
  }

  void Drain(const std::vector<std::string>& aGroups)
  {
    for (Group& it : mNext.mGroups) {
      if (std::find(aGroups.begin(), aGroups.end(), it.mId) != aGroups.end()) {
        it.mPhase = GroupPhase::Draining;
      }
    }
  }

  bool Form(const GroupRule& aRule)
  {
    std::vector<GroupMember> members = FindFree(aRule, aRule.mVmsPerCopy);
    if (members.size() < aRule.mVmsPerCopy) {
      return false;
    }
    Group group;
    group.mId = mNext.mName + "-" + std::to_string(mInput.mNextGroup) + "-" +
                std::to_string(mFormed++);
    group.mRule = aRule.mName;
    group.mModel = aRule.mModel;
    group.mGeneration = 1;
    for (GroupMember& it : members) {
      mUsed.insert(it.mVm);
      group.mMembers.push_back(std::move(it));
    }
    mNext.mGroups.push_back(std::move(group));
    return true;
  }

  /// @return up to aCount free VMs, those that have the model loaded first
  std::vector<GroupMember> FindFree(const GroupRule& aRule, size_t aCount)
  {
    std::vector<const ObservedVm*> free;
    for (const ObservedVm& it : mInput.mVms) {
      if (it.mVm.mPool == aRule.mPool && it.mVm.mState == VmState::Live &&
          !mUsed.contains(it.mVm.mId) &&
          IsFree(mInput, it, aRule.mFencingMode, mNow)) {
        free.push_back(&it);
      }
    }
    std::stable_partition(free.begin(), free.end(), [&](const ObservedVm* aVm) {
      return aVm->mLastProbe->mStatus.mModel == aRule.mModel;
    });
    free.resize(std::min(free.size(), aCount));
    std::vector<GroupMember> members;
    for (const ObservedVm* it : free) {
      members.push_back(
        { it->mVm.mId, it->mVm.mIncarnation, it->mVm.mAddress });
    }
    return members;
  }

  static bool IsOutdated(const Group& aGroup, const GroupRule& aRule)
  {
    return aRule.mModel != aGroup.mModel ||
           aRule.mVmsPerCopy != aGroup.mMembers.size();
  }

  bool HasMissingMember(const Group& aGroup) const
  {
    return !std::all_of(
      aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](auto& it) {
        return IsVmPresent(mInput, it, mNow);
      });
  }

  bool IsReady(const Group& aGroup) const
  {
    return std::all_of(
      aGroup.mMembers.begin(), aGroup.mMembers.end(), [&](auto& it) {
        const ObservedVm* vm = FindVm(mInput.mVms, it.mVm);
        return vm != nullptr && vm->mLastProbe &&
               IsMemberReady(
                 *vm->mLastProbe, aGroup, it, mNow, mInput.mMaxProbeAge);
      });
  }

  const Rules& mRules;
  const DomainInput& mInput;
  const TimePoint mNow;
  Domain mNext;
  std::set<std::string> mUsed;
  uint32_t mFormed = 0;
};

} // namespace

Domain
PlanDomain(const Rules& aRules, const DomainInput& aInput, TimePoint aNow)
{
  if (HasNoRecentProbe(aInput, aNow)) {
    return aInput.mCurrent;
  }
  return Planner(aRules, aInput, aNow).Run();
}

} // namespace hibiscushold
