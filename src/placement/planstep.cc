#include "observe/events.h"
#include "placement/believedvms.h"
#include "placement/formation.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Time for a closing head to finish its requests, which end within their own
/// timeouts.
constexpr auto kCloseTimeout = milliseconds(9000);
/// A locked VM stays locked for the stall timeout of its previous group plus
/// this margin, for differences between the clocks and the delay of the order.
constexpr auto kLockMargin = milliseconds(700);

/// Runs one planner step and collects its orders.
class StepPlanner
{
public:
  StepPlanner(PlannerState& aState,
              const PlannerView& aView,
              const PlannerLimits& aLimits,
              TimePoint aNow)
    : mState(aState)
    , mView(aView)
    , mLimits(aLimits)
    , mNow(aNow)
  {
  }

  PlannerStep Run()
  {
    AskDoubted();
    AdoptGroups();
    for (auto it = mState.mGroups.begin(); it != mState.mGroups.end();) {
      const bool isPlanned = Advance(it->first, it->second);
      if (!isPlanned) {
        mState.mDissolved.emplace(it->first, mNow);
      }
      it = isPlanned ? std::next(it) : mState.mGroups.erase(it);
    }
    PlanFormations(mState, mView, mNow, mStep);
    return std::move(mStep);
  }

private:
  void AskDoubted()
  {
    for (const auto& [id, vm] : mState.mVms) {
      if (vm.mFacts.mIsDoubted && mView.mVms.contains(id)) {
        mStep.mToAsk.insert(id);
      }
    }
  }

  /// Adopts groups that are not planned: those of a previous planner, and those
  /// formed by a delayed order.
  void AdoptGroups()
  {
    for (const ObservedGroup& it : FindGroups(mView.mVms, mView.mService)) {
      if (IsServingHead(HeadOf(it))) {
        mServing.insert(it.mKey);
      }
      if (mState.mUnreachableHeads.contains(it.mKey)) {
        LockMembers(it);
      }
      if (mState.mGroups.contains(it.mKey) || IsIgnored(it) ||
          (HeadOf(it) == nullptr &&
           AskForHead(mState, mView, it, mStep, mNow))) {
        continue;
      }
      AdoptGroup(it);
    }
  }

  /// @return whether the group was dissolved and is not to be adopted again
  bool IsIgnored(const ObservedGroup& aGroup) const
  {
    const auto dissolved = mState.mDissolved.find(aGroup.mKey);
    if (dissolved == mState.mDissolved.end()) {
      return false;
    }
    // The entry of a lapsed head doesn't show that it has left.
    const FleetVm* head = HeadOf(aGroup);
    return mNow < dissolved->second || !IsServingHead(head) || IsLapsed(head);
  }

  /// Adds a group to the plan. Any group with a head and other members may be
  /// serving, or may be opened by an order of the previous planner that has not
  /// arrived yet. Groups without a head, and single VMs that do not serve, are
  /// only recorded as dissolved.
  void AdoptGroup(const ObservedGroup& aGroup)
  {
    const FleetVm* head = HeadOf(aGroup);
    const bool serves = IsServingHead(head);
    if (head == nullptr || (!serves && aGroup.mMembers.size() == 1)) {
      if (head == nullptr) {
        mState.mUnreachableHeads.emplace(aGroup.mKey, "");
        LockMembers(aGroup);
      }
      mState.mDissolved[aGroup.mKey] = mNow;
      return;
    }
    const FleetModel* model = mView.mEngine.FindModel(aGroup.mModel);
    const size_t size =
      model == nullptr ? aGroup.mMembers.size() : model->mSize;
    PlannedGroup group{ aGroup.mModel, aGroup.mDomain, {}, {}, {}, {} };
    std::vector<const FleetVm*> members = FindAllMembers(aGroup, size);
    const bool isWhole = !members.empty();
    if (!isWhole) {
      for (const auto& [rank, vm] : aGroup.mMembers) {
        members.push_back(vm);
      }
    }
    bool joining = false;
    for (const FleetVm* it : members) {
      group.mMembers.push_back(it->mId);
      joining = joining || it->mMembership->mPhase == MembershipPhase::Joining;
    }
    if (!isWhole) {
      group.mMembers.emplace_back(); // so that the group counts as broken
    }
    group.mStage =
      joining && !serves ? GroupStage::Forming : GroupStage::Serving;
    group.mDeadline =
      mNow +
      (model == nullptr ? Duration::zero() : Duration(model->mLoadTime * 2));
    group.mRepeatOrderAt = group.mDeadline;
    if (group.mStage == GroupStage::Serving) {
      group.mRepeatOrderAt = mNow;
    }
    LogGroup(aGroup.mKey, group, "taken_up", "");
    mState.mGroups.emplace(aGroup.mKey, std::move(group));
  }

  /// Locks the members that are listed and orders them to leave until they
  /// confirm it, as the unreachable head may still be running. Members may
  /// reappear in the list at different times.
  void LockMembers(const ObservedGroup& aGroup)
  {
    for (const auto& [rank, vm] : aGroup.mMembers) {
      if (rank == 0) {
        continue;
      }
      const PlannedVm& planned = mState.mVms[vm->mId];
      if (planned.mLockedGroup != aGroup.mKey || planned.mLockedUntil <= mNow) {
        Lock(vm->mId, mState.mUnreachableHeads[aGroup.mKey], aGroup.mKey);
      }
      if (!planned.mHasLeft && mNow >= planned.mRepeatLeaveAt &&
          !IsLost(mState, mView.mVms, vm->mId, mNow)) {
        Order(OrderKind::Leave, vm->mId, aGroup.mKey);
      }
    }
  }

  void Lock(const std::string& aVmId,
            const std::string& aHead,
            const GroupKey& aKey)
  {
    PlannedVm& planned = mState.mVms[aVmId];
    planned.mLockedHead = aHead;
    planned.mLockedGroup = aKey;
    planned.mLockedUntil = std::max(planned.mLockedUntil,
                                    mNow + mLimits.mStallTimeout + kLockMargin);
    planned.mHasLeft = false;
  }

  FleetOrder& Order(OrderKind aKind,
                    const std::string& aVmId,
                    const GroupKey& aKey)
  {
    PlannedVm& planned = mState.mVms[aVmId];
    if (aKind == OrderKind::Leave) {
      planned.mRepeatLeaveAt = mNow + kOrderRepeatInterval;
    }
    mStep.mOrders.push_back(
      { aKind, aVmId, planned.mAddress, aKey, "", {}, mState.mFence });
    return mStep.mOrders.back();
  }

  /// Orders what the group's stage requires and moves the group to its next
  /// stage.
  /// @return whether the group remains planned
  bool Advance(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    switch (aGroup.mStage) {
      case GroupStage::Forming:
        return AdvanceForming(aKey, aGroup);
      case GroupStage::Serving:
        return AdvanceServing(aKey, aGroup);
      case GroupStage::Closing:
        return AdvanceClosing(aKey, aGroup);
      case GroupStage::Leaving:
        return AdvanceLeaving(aKey, aGroup);
    }
    return false;
  }

  bool AdvanceForming(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    size_t ready = 0;
    for (const std::string& it : aGroup.mMembers) {
      const FleetVm* vm = FindVm(mView.mVms, it);
      if (vm == nullptr || vm->mState != VmState::Live || IsLapsed(vm) ||
          IsLost(mState, mView.mVms, it, mNow)) {
        return EndForming(aKey, aGroup, "lost_while_forming", it);
      }
      const bool isMember = IsMemberOf(vm, aKey);
      ready +=
        isMember && vm->mMembership->mPhase == MembershipPhase::Ready ? 1 : 0;
    }
    if (ready == aGroup.mMembers.size()) {
      const FleetModel* model = mView.mEngine.FindModel(aGroup.mModel);
      if (model == nullptr || model->mSize != aGroup.mMembers.size()) {
        return EndForming(aKey, aGroup, "spare_ready", "");
      }
      aGroup.mStage = GroupStage::Serving;
      aGroup.mRepeatOrderAt = mNow;
      return AdvanceServing(aKey, aGroup);
    }
    if (mNow >= aGroup.mDeadline) {
      return EndForming(aKey, aGroup, "too_slow", "");
    }
    if (mNow >= aGroup.mRepeatOrderAt && AreProven(aGroup)) {
      aGroup.mRepeatOrderAt = mNow + kOrderRepeatInterval;
      RepeatJoins(aKey, aGroup);
    }
    return true;
  }

  /// Has the members asked of which a join without response, or one that they
  /// refused, leaves open in which group they are.
  /// @return whether there is none
  bool AreProven(const PlannedGroup& aGroup)
  {
    bool areProven = true;
    for (const std::string& it : aGroup.mMembers) {
      if (!mState.mVms[it].mFacts.mIsProven) {
        mStep.mToAsk.insert(it);
        areProven = false;
      }
    }
    return areProven;
  }

  /// Gives up a group that has not been opened. One of an earlier lease may
  /// have been, whatever its entries show; a single VM proves itself what it is
  /// in.
  bool EndForming(const GroupKey& aKey,
                  PlannedGroup& aGroup,
                  const char* aReason,
                  const std::string& aVmId)
  {
    return IsOfLease(mState, aKey) || aGroup.mMembers.size() == 1
             ? Dissolve(aKey, aGroup, aReason, aVmId)
             : StartLeaving(aKey, aGroup, aReason, aVmId);
  }

  /// @return whether the head of the VM's group, which may be the VM itself, is
  ///         listed as serving
  bool IsHeadServing(const FleetVm* aVm) const
  {
    return aVm != nullptr && aVm->mMembership &&
           mServing.contains(aVm->mMembership->mKey);
  }

  /// Repeats the joins that have no visible effect. A join without response may
  /// be lost or delayed; VMs treat a repeated join as the same one. Late orders
  /// may meanwhile have opened an earlier group, which has to be left first.
  void RepeatJoins(const GroupKey& aKey, const PlannedGroup& aGroup)
  {
    for (const std::string& it : aGroup.mMembers) {
      const FleetVm* vm = FindVm(mView.mVms, it);
      if (IsMemberOf(vm, aKey) || IsHeadServing(vm)) {
        continue;
      }
      OrderJoin(it, aKey, aGroup);
    }
  }

  /// Logs the end of a group.
  /// @return false, so that the caller removes the group from the plan
  bool Dissolve(const GroupKey& aKey,
                const PlannedGroup& aGroup,
                const char* aReason,
                const std::string& aVmId)
  {
    LogGroup(aKey, aGroup, aReason, aVmId);
    return false;
  }

  static void LogGroup(const GroupKey& aKey,
                       const PlannedGroup& aGroup,
                       const char* aChange,
                       const std::string& aVmId)
  {
    LogEvent(EventId::FleetGroupChanged,
             { { "group", aKey.mName },
               { "epoch", std::to_string(aKey.mEpoch) },
               { "model", aGroup.mModel },
               { "domain", aGroup.mDomain },
               { "head", aGroup.mMembers[0] },
               { "change", aChange },
               { "vm", aVmId } });
  }

  bool AdvanceServing(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    const bool opened = IsMemberOf(head, aKey) &&
                        head->mMembership->mPhase == MembershipPhase::Open;
    bool leaving = false;
    for (const std::string& it : aGroup.mMembers) {
      const FleetVm* vm = FindVm(mView.mVms, it);
      if (IsLostMember(mState, mView.mVms, aKey, it, mNow) ||
          (IsLapsed(vm) && !opened)) {
        return StartLeaving(aKey, aGroup, "lost_vm", it);
      }
      leaving = leaving || vm->mState == VmState::Leaving;
    }
    if (leaving) {
      LogGroup(aKey, aGroup, "member_leaves", "");
      aGroup.mStage = GroupStage::Closing;
      aGroup.mDeadline = mNow + kCloseTimeout;
      aGroup.mRepeatOrderAt = mNow;
      return AdvanceClosing(aKey, aGroup);
    }
    if (!opened && !IsOfLease(mState, aKey)) {
      if (mNow >= aGroup.mDeadline) {
        return StartLeaving(aKey, aGroup, "not_opened", "");
      }
      if (!aGroup.mIsFenced && !AreFenced(aKey, aGroup)) {
        return true;
      }
    }
    if (!opened && mNow >= aGroup.mRepeatOrderAt) {
      Order(OrderKind::Open, headId, aKey);
      aGroup.mRepeatOrderAt =
        mNow + mView.mEngine.mOpenTime + kOrderRepeatInterval;
    }
    return true;
  }

  bool AdvanceClosing(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    const bool isMember = IsMemberOf(head, aKey);
    if (!isMember || IsLost(mState, mView.mVms, headId, mNow) ||
        mNow >= aGroup.mDeadline) {
      return StartLeaving(aKey, aGroup, "not_closed", headId);
    }
    if (head->mMembership->mPhase == MembershipPhase::Ready) {
      // An order to open without response may still arrive at the head, so the
      // members are not free before it has left.
      return StartLeaving(aKey, aGroup, "closed", "");
    }
    if (head->mMembership->mPhase == MembershipPhase::Open &&
        mNow >= aGroup.mRepeatOrderAt) {
      Order(OrderKind::Close, headId, aKey);
      aGroup.mRepeatOrderAt = mNow + kOrderRepeatInterval;
    }
    return true;
  }

  /// Repeats the joins of a group that an earlier lease has formed, as a late
  /// order of that lease may take a member away once the head has opened. A
  /// member that has answered an order of this lease refuses it.
  /// @return whether all members have
  bool AreFenced(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const bool areFenced = std::all_of(
      aGroup.mMembers.begin(),
      aGroup.mMembers.end(),
      [&](const std::string& it) { return mState.mVms[it].mFacts.mIsFenced; });
    if (areFenced) {
      aGroup.mIsFenced = true;
      aGroup.mRepeatOrderAt = mNow;
      return true;
    }
    if (mNow < aGroup.mRepeatOrderAt) {
      return false;
    }
    aGroup.mRepeatOrderAt = mNow + kOrderRepeatInterval;
    for (const std::string& it : aGroup.mMembers) {
      if (!mState.mVms[it].mFacts.mIsFenced) {
        OrderJoin(it, aKey, aGroup);
      }
    }
    return false;
  }

  void OrderJoin(const std::string& aVmId,
                 const GroupKey& aKey,
                 const PlannedGroup& aGroup)
  {
    FleetOrder& order = Order(OrderKind::Join, aVmId, aKey);
    order.mModel = aGroup.mModel;
    order.mMembers = aGroup.mMembers;
    order.mExpectedCount = mState.mVms[aVmId].mFacts.mOrderCount;
  }

  bool StartLeaving(const GroupKey& aKey,
                    PlannedGroup& aGroup,
                    const char* aReason,
                    const std::string& aVmId)
  {
    LogGroup(aKey, aGroup, aReason, aVmId);
    aGroup.mStage = GroupStage::Leaving;
    aGroup.mDeadline = mNow + 2 * kOrderRepeatInterval;
    aGroup.mRepeatOrderAt = mNow;
    if (aVmId == aGroup.mMembers[0]) {
      DetachMembers(aKey, aGroup);
    }
    return AdvanceLeaving(aKey, aGroup);
  }

  /// Locks all members and orders those other than the head to leave. Used
  /// when the head cannot be reached; the head then breaks down within the
  /// stall timeout.
  void DetachMembers(const GroupKey& aKey, const PlannedGroup& aGroup)
  {
    const std::string& head = aGroup.mMembers[0];
    mState.mUnreachableHeads[aKey] = head;
    std::set<std::string> members(aGroup.mMembers.begin(),
                                  aGroup.mMembers.end());
    // A member may have been listed later than the group was taken up.
    for (const auto& [id, vm] : mView.mVms) {
      if (IsMemberOf(&vm, aKey)) {
        members.insert(id);
      }
    }
    for (const std::string& it : members) {
      Lock(it, head, aKey);
      if (it != head && IsMemberOf(FindVm(mView.mVms, it), aKey)) {
        Order(OrderKind::Leave, it, aKey);
      }
    }
  }

  /// The members are free once the head has left the group, has restarted, or
  /// must have broken down.
  bool AdvanceLeaving(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    if (headId.empty() || (head != nullptr && !IsMemberOf(head, aKey)) ||
        (head != nullptr &&
         head->mMembership->mPhase == MembershipPhase::Broken)) {
      mState.mUnreachableHeads.erase(aKey);
      return Dissolve(aKey, aGroup, "dissolved", "");
    }
    if (mNow >= aGroup.mDeadline) {
      if (!mState.mUnreachableHeads.contains(aKey)) {
        DetachMembers(aKey, aGroup);
      }
      mState.mDissolved[aKey] = mNow + mLimits.mStallTimeout + kLockMargin;
      return Dissolve(aKey, aGroup, "head_unreachable", headId);
    }
    if (mNow >= aGroup.mRepeatOrderAt) {
      Order(OrderKind::Leave, headId, aKey);
      aGroup.mRepeatOrderAt = mNow + kOrderRepeatInterval;
    }
    return true;
  }

  PlannerState& mState;
  const PlannerView& mView;
  const PlannerLimits& mLimits;
  const TimePoint mNow;
  std::set<GroupKey> mServing; ///< groups whose head is listed as serving
  PlannerStep mStep;
};

} // namespace

PlannerStep
PlanStep(PlannerState& aState,
         const PlannerView& aView,
         const PlannerLimits& aLimits,
         TimePoint aNow)
{
  UpdateVms(aState, aView, aNow);
  const std::optional<FleetVms> believed = CorrectMemberships(aState, aView);
  const PlannerView view{ believed ? *believed : aView.mVms,
                          aView.mService,
                          aView.mEngine,
                          aView.mBeforeTraffic,
                          aView.mZones };
  return StepPlanner(aState, view, aLimits, aNow).Run();
}

} // namespace hibiscushold
