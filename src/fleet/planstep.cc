#include "fleet/formation.h"
#include "observe/events.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Requests that a closing head still has end within their own time.
constexpr auto kCloseLimit = milliseconds(9000);
/// Beyond the stall, for the bounds of both clocks and the way of the order.
constexpr auto kLockMargin = milliseconds(700);

/// One step of the planner; collects orders.
class Step
{
public:
  Step(PlannerState& aState,
       const PlannerView& aView,
       const PlannerBounds& aBounds,
       TimePoint aNow)
    : mState(aState)
    , mView(aView)
    , mBounds(aBounds)
    , mNow(aNow)
  {
  }

  PlannerStep Run()
  {
    NoteVms();
    TakeUpGroups();
    for (auto it = mState.mGroups.begin(); it != mState.mGroups.end();) {
      const bool stays = Attend(it->first, it->second);
      if (!stays) {
        mState.mDissolved.emplace(it->first, mNow);
      }
      it = stays ? std::next(it) : mState.mGroups.erase(it);
    }
    PlanFormations(mState, mView, mNow, mStep.mOrders);
    return std::move(mStep);
  }

private:
  void NoteVms()
  {
    for (const auto& [id, vm] : mView.mVms) {
      if (vm.mService != mView.mService) {
        continue;
      }
      VmBelief& belief = mState.mVms[id];
      if (belief.mBornMillis != vm.mBornMillis) {
        belief = VmBelief{};
        belief.mBornMillis = vm.mBornMillis;
        mState.mNewVmAt = mNow;
      }
      belief.mAddress = vm.mAddress;
      if (vm.mSeat && vm.mSeat->mPhase != GroupPhase::Joining) {
        belief.mLastModel = vm.mSeat->mModel;
      }
    }
  }

  /// Groups of an earlier planner, or ones that came to be by a late order.
  void TakeUpGroups()
  {
    for (const SeatedGroup& it : SeatedGroups(mView.mVms, mView.mService)) {
      if (mState.mUnheard.contains(it.mKey)) {
        LockMembers(it);
      }
      if (!mState.mGroups.contains(it.mKey) && !IsDoneWith(it)) {
        TakeUp(it);
      }
    }
  }

  bool IsDoneWith(const SeatedGroup& aGroup) const
  {
    const auto dissolved = mState.mDissolved.find(aGroup.mKey);
    if (dissolved == mState.mDissolved.end()) {
      return false;
    }
    return mNow < dissolved->second || !IsServingHead(aGroup.mMembers[0]);
  }

  /// Whatever has a head and more members may serve, or be opened by an order
  /// of the earlier planner that is still on its way.
  void TakeUp(const SeatedGroup& aGroup)
  {
    const FleetVm* head = aGroup.mMembers[0];
    const bool serves = IsServingHead(head);
    if (head == nullptr || (!serves && aGroup.mMembers.size() == 1)) {
      if (head == nullptr) {
        mState.mUnheard.emplace(aGroup.mKey, "");
        LockMembers(aGroup);
      }
      mState.mDissolved[aGroup.mKey] = mNow;
      return;
    }
    const FleetModel* model = mView.mEngine.FindModel(aGroup.mModel);
    const size_t size = model == nullptr ? 1 : model->mSize;
    PlannedGroup group{ aGroup.mModel, aGroup.mDomain, {}, {}, {}, {} };
    bool joining = false;
    for (const FleetVm* it : aGroup.mMembers) {
      group.mMembers.push_back(it == nullptr ? "" : it->mId);
      joining =
        joining || (it != nullptr && it->mSeat->mPhase == GroupPhase::Joining);
    }
    group.mMembers.resize(std::max(group.mMembers.size(), size));
    group.mStage =
      joining && !serves ? GroupStage::Forming : GroupStage::Serving;
    group.mDeadline =
      mNow + (model == nullptr ? Duration::zero() : Duration(model->mLoad * 2));
    group.mOrderAgainAt = group.mDeadline;
    if (group.mStage == GroupStage::Serving) {
      group.mOrderAgainAt = mNow;
    }
    LogGroup(aGroup.mKey, group, "taken_up", "");
    mState.mGroups.emplace(aGroup.mKey, std::move(group));
  }

  /// The head may live on where nobody hears it. Members may be listed again
  /// later than others; one whose order to leave got lost is still seated.
  void LockMembers(const SeatedGroup& aGroup)
  {
    for (const FleetVm* it : aGroup.mMembers) {
      if (it == nullptr || it->mSeat->mRank == 0) {
        continue;
      }
      const VmBelief& belief = mState.mVms[it->mId];
      if (belief.mLockedIn != aGroup.mKey || belief.mLockedUntil <= mNow) {
        Lock(it->mId, mState.mUnheard[aGroup.mKey], aGroup.mKey);
        Order(OrderKind::Leave, it->mId, aGroup.mKey);
      }
    }
  }

  void Lock(const std::string& aVmId,
            const std::string& aHead,
            const GroupKey& aKey)
  {
    VmBelief& belief = mState.mVms[aVmId];
    belief.mLockedBy = aHead;
    belief.mLockedIn = aKey;
    belief.mLockedUntil =
      std::max(belief.mLockedUntil, mNow + mBounds.mStall + kLockMargin);
  }

  FleetOrder& Order(OrderKind aKind,
                    const std::string& aVmId,
                    const GroupKey& aKey)
  {
    FleetOrder order;
    order.mKind = aKind;
    order.mVmId = aVmId;
    order.mAddress = mState.mVms[aVmId].mAddress;
    order.mGroup = aKey;
    order.mFence = mState.mFence;
    mStep.mOrders.push_back(std::move(order));
    return mStep.mOrders.back();
  }

  bool IsSilent(const std::string& aVmId) const
  {
    const auto it = mState.mVms.find(aVmId);
    return it != mState.mVms.end() && it->second.mSilentUntil > mNow;
  }

  /// @return whether the group is still to be attended to
  bool Attend(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    switch (aGroup.mStage) {
      case GroupStage::Forming:
        return AttendForming(aKey, aGroup);
      case GroupStage::Serving:
        return AttendServing(aKey, aGroup);
      case GroupStage::Closing:
        return AttendClosing(aKey, aGroup);
      case GroupStage::Leaving:
        return AttendLeaving(aKey, aGroup);
    }
    return false;
  }

  bool AttendForming(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    size_t ready = 0;
    for (const std::string& it : aGroup.mMembers) {
      const FleetVm* vm = FindVm(mView.mVms, it);
      if (vm == nullptr || vm->mState != VmState::Live || IsSilent(it)) {
        return Dissolve(aKey, aGroup, "lost_while_forming", it);
      }
      const bool seated = IsSeatedIn(vm, aKey);
      ready += seated && vm->mSeat->mPhase == GroupPhase::Ready ? 1 : 0;
    }
    if (ready == aGroup.mMembers.size()) {
      const FleetModel* model = mView.mEngine.FindModel(aGroup.mModel);
      if (model == nullptr || model->mSize != aGroup.mMembers.size()) {
        return Dissolve(aKey, aGroup, "spare_ready", "");
      }
      aGroup.mStage = GroupStage::Serving;
      aGroup.mOrderAgainAt = mNow;
      return AttendServing(aKey, aGroup);
    }
    if (mNow >= aGroup.mDeadline) {
      return Dissolve(aKey, aGroup, "too_slow", "");
    }
    if (mNow >= aGroup.mOrderAgainAt) {
      aGroup.mOrderAgainAt = mNow + kOrderAgain;
      JoinAgain(aKey, aGroup);
    }
    return true;
  }

  /// A join that got no answer may be lost, or come late; the VM takes the
  /// same join twice as one.
  void JoinAgain(const GroupKey& aKey, const PlannedGroup& aGroup)
  {
    for (const std::string& it : aGroup.mMembers) {
      if (!IsSeatedIn(FindVm(mView.mVms, it), aKey)) {
        FleetOrder& order = Order(OrderKind::Join, it, aKey);
        order.mModel = aGroup.mModel;
        order.mMembers = aGroup.mMembers;
      }
    }
  }

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

  bool AttendServing(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    bool leaving = false;
    for (const std::string& it : aGroup.mMembers) {
      const FleetVm* vm = FindVm(mView.mVms, it);
      if (!IsSeatedIn(vm, aKey) || vm->mSeat->mPhase == GroupPhase::Broken ||
          IsSilent(it)) {
        return StartLeaving(aKey, aGroup, "lost_vm", it);
      }
      leaving = leaving || vm->mState == VmState::Leaving;
    }
    if (leaving) {
      LogGroup(aKey, aGroup, "member_leaves", "");
      aGroup.mStage = GroupStage::Closing;
      aGroup.mDeadline = mNow + kCloseLimit;
      aGroup.mOrderAgainAt = mNow;
      return AttendClosing(aKey, aGroup);
    }
    const bool opened = head->mSeat->mPhase == GroupPhase::Open;
    if (!opened && mNow >= aGroup.mOrderAgainAt) {
      Order(OrderKind::Open, headId, aKey);
      aGroup.mOrderAgainAt = mNow + mView.mEngine.mOpening + kOrderAgain;
    }
    return true;
  }

  bool AttendClosing(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    const bool seated = IsSeatedIn(head, aKey);
    if (!seated || IsSilent(headId) || mNow >= aGroup.mDeadline) {
      return StartLeaving(aKey, aGroup, "not_closed", headId);
    }
    if (head->mSeat->mPhase == GroupPhase::Ready) {
      // An order to open it that got no answer may still be on its way.
      Order(OrderKind::Leave, headId, aKey);
      return Dissolve(aKey, aGroup, "closed", "");
    }
    if (head->mSeat->mPhase == GroupPhase::Open &&
        mNow >= aGroup.mOrderAgainAt) {
      Order(OrderKind::Close, headId, aKey);
      aGroup.mOrderAgainAt = mNow + kOrderAgain;
    }
    return true;
  }

  bool StartLeaving(const GroupKey& aKey,
                    PlannedGroup& aGroup,
                    const char* aReason,
                    const std::string& aVmId)
  {
    LogGroup(aKey, aGroup, aReason, aVmId);
    aGroup.mStage = GroupStage::Leaving;
    aGroup.mDeadline = mNow + 2 * kOrderAgain;
    aGroup.mOrderAgainAt = mNow;
    if (aVmId == aGroup.mMembers[0]) {
      FreeFromHead(aKey, aGroup);
    }
    return AttendLeaving(aKey, aGroup);
  }

  /// Members of a head that cannot be told to leave go themselves; the head
  /// breaks down within the time of a stall.
  void FreeFromHead(const GroupKey& aKey, const PlannedGroup& aGroup)
  {
    mState.mUnheard[aKey] = aGroup.mMembers[0];
    for (const std::string& it : aGroup.mMembers) {
      Lock(it, aGroup.mMembers[0], aKey);
      if (it != aGroup.mMembers[0] &&
          IsSeatedIn(FindVm(mView.mVms, it), aKey)) {
        Order(OrderKind::Leave, it, aKey);
      }
    }
  }

  /// The members are free once the head has left, is seen in no group or a
  /// later life, or has certainly broken down.
  bool AttendLeaving(const GroupKey& aKey, PlannedGroup& aGroup)
  {
    const std::string& headId = aGroup.mMembers[0];
    const FleetVm* head = FindVm(mView.mVms, headId);
    if (headId.empty() || (head != nullptr && !IsSeatedIn(head, aKey)) ||
        (head != nullptr && head->mSeat->mPhase == GroupPhase::Broken)) {
      mState.mUnheard.erase(aKey);
      return Dissolve(aKey, aGroup, "dissolved", "");
    }
    if (mNow >= aGroup.mDeadline) {
      if (!mState.mUnheard.contains(aKey)) {
        FreeFromHead(aKey, aGroup);
      }
      mState.mDissolved[aKey] = mNow + mBounds.mStall + kLockMargin;
      return Dissolve(aKey, aGroup, "head_unreachable", headId);
    }
    if (mNow >= aGroup.mOrderAgainAt) {
      Order(OrderKind::Leave, headId, aKey);
      aGroup.mOrderAgainAt = mNow + kOrderAgain;
    }
    return true;
  }

  PlannerState& mState;
  const PlannerView& mView;
  const PlannerBounds& mBounds;
  const TimePoint mNow;
  PlannerStep mStep;
};

} // namespace

PlannerStep
PlanStep(PlannerState& aState,
         const PlannerView& aView,
         const PlannerBounds& aBounds,
         TimePoint aNow)
{
  return Step(aState, aView, aBounds, aNow).Run();
}

} // namespace hibiscushold
