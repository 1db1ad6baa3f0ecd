#include "groups/orders.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

/// How long to wait for a status that reflects the last order before another
/// order may be sent.
constexpr auto kOrderStatusTimeout = milliseconds(2000);

class OrderPlanner
{
public:
  OrderPlanner(const DomainInput& aInput, uint32_t aLoads, TimePoint aNow)
    : mInput(aInput)
    , mNow(aNow)
    , mLoadsLeft(aLoads)
  {
    for (const Group& group : mInput.mCurrent.mGroups) {
      for (const GroupMember& it : group.mMembers) {
        const ObservedVm* vm = FindVm(mInput.mVms, it.mVm);
        if (vm == nullptr || vm->mVm.mIncarnation == it.mIncarnation) {
          mUsed.insert(it.mVm);
        }
        CountLoading(group, it);
      }
    }
  }

  std::vector<DueOrder> Run(const std::vector<WarmDemand>& aWarm)
  {
    for (const Group& group : mInput.mCurrent.mGroups) {
      for (size_t i = 0; i < group.mMembers.size(); ++i) {
        if (group.mPhase == GroupPhase::Forming) {
          Assign(group, i);
        } else if (group.mPhase == GroupPhase::Retiring) {
          Retire(group, group.mMembers[i]);
        }
      }
    }
    for (const ObservedVm& it : mInput.mVms) {
      ReleaseIdle(it);
    }
    for (const WarmDemand& it : aWarm) {
      Warm(it);
    }
    return std::move(mDue);
  }

private:
  const ObservedVm* FindProbedMember(const GroupMember& aMember) const
  {
    const ObservedVm* vm = FindVm(mInput.mVms, aMember.mVm);
    const bool probed =
      vm != nullptr && vm->mLastProbe &&
      vm->mLastProbe->mStatus.mIncarnation == aMember.mIncarnation;
    return probed ? vm : nullptr;
  }

  void CountLoading(const Group& aGroup, const GroupMember& aMember)
  {
    const ObservedVm* vm = FindProbedMember(aMember);
    const bool loading = vm != nullptr &&
                         aGroup.mPhase == GroupPhase::Forming &&
                         vm->mLastProbe->mStatus.mGroup == aGroup.mId &&
                         !vm->mLastProbe->mStatus.mReady;
    mLoadsLeft -= loading && mLoadsLeft > 0 ? 1 : 0;
  }

  /// Counts a load against the limit unless the VM has the model already.
  /// @return whether the VM has the model or may load it now
  bool MayLoad(const ObservedVm& aVm, const std::string& aModel)
  {
    if (aVm.mLastProbe->mStatus.mModel == aModel) {
      return true;
    }
    if (mLoadsLeft == 0) {
      return false;
    }
    --mLoadsLeft;
    return true;
  }

  void Assign(const Group& aGroup, size_t aRank)
  {
    const GroupMember& member = aGroup.mMembers[aRank];
    const ObservedVm* vm = FindProbedMember(member);
    if (vm == nullptr) {
      return;
    }
    const EngineStatus& status = vm->mLastProbe->mStatus;
    const bool assigned =
      status.mGroup == aGroup.mId && status.mGeneration == aGroup.mGeneration;
    if (assigned || IsOrderPending(*vm) || !MayLoad(*vm, aGroup.mModel)) {
      return;
    }
    Order order;
    order.mFencing = mInput.mCurrent.mOrderNumber;
    order.mGroup = aGroup.mId;
    order.mGeneration = aGroup.mGeneration;
    order.mRank = static_cast<uint32_t>(aRank);
    order.mSize = static_cast<uint32_t>(aGroup.mMembers.size());
    order.mModel = aGroup.mModel;
    mDue.push_back({ member.mVm, member.mAddress, std::move(order), "" });
  }

  void Retire(const Group& aGroup, const GroupMember& aMember)
  {
    const ObservedVm* vm = FindProbedMember(aMember);
    if (vm == nullptr || IsOrderPending(*vm)) {
      return;
    }
    const bool reportsGroup =
      vm->mLastProbe->mStatus.mGroup == aGroup.mId && IsStatusAfterRelease(*vm);
    if (vm->mTimes.mReleasedFrom != aGroup.mId || reportsGroup) {
      Release(*vm, aGroup.mId, "");
    }
  }

  /// @return whether an order was sent that the latest status can't reflect yet
  bool IsOrderPending(const ObservedVm& aVm) const
  {
    const std::optional<TimePoint>& at = aVm.mTimes.mOrderedAt;
    return at && aVm.mLastProbe->mProbedAt < *at &&
           mNow < *at + kOrderStatusTimeout;
  }

  static bool IsStatusAfterRelease(const ObservedVm& aVm)
  {
    const std::optional<TimePoint>& accepted = aVm.mTimes.mReleaseAcceptedAt;
    return !accepted || aVm.mLastProbe->mProbedAt >= *accepted;
  }

  void ReleaseIdle(const ObservedVm& aVm)
  {
    if (!IsIdle(aVm) || IsOrderPending(aVm)) {
      return;
    }
    const bool reportsGroup =
      !aVm.mLastProbe->mStatus.mGroup.empty() && IsStatusAfterRelease(aVm);
    if (reportsGroup || !aVm.mTimes.mReleaseAcceptedAt) {
      Release(aVm, "", "");
    }
  }

  bool IsIdle(const ObservedVm& aVm) const
  {
    return !mUsed.contains(aVm.mVm.mId) && !aVm.mInOtherDomain &&
           HasRecentProbe(aVm, mNow, mInput.mMaxProbeAge);
  }

  void Release(const ObservedVm& aVm,
               const std::string& aGroup,
               const std::string& aModel)
  {
    Order order;
    order.mFencing = mInput.mCurrent.mOrderNumber;
    order.mModel = aModel;
    mDue.push_back({ aVm.mVm.mId, aVm.mVm.mAddress, std::move(order), aGroup });
  }

  /// Orders free VMs to load the model until enough of them have it.
  void Warm(const WarmDemand& aDemand)
  {
    std::vector<const ObservedVm*> cold;
    uint32_t warm = 0;
    for (const ObservedVm& it : mInput.mVms) {
      if (!IsIdle(it) || it.mVm.mPool != aDemand.mPool ||
          it.mVm.mState != VmState::Live || !it.mTimes.mFreeSince ||
          mWarmVms.contains(it.mVm.mId)) {
        continue;
      }
      const bool isWarm =
        it.mLastProbe->mStatus.mModel == aDemand.mModel || IsOrderPending(it);
      if (isWarm && warm < aDemand.mVms) {
        ++warm;
        mWarmVms.insert(it.mVm.mId);
      } else {
        cold.push_back(&it);
      }
    }
    for (const ObservedVm* it : cold) {
      if (warm >= aDemand.mVms || !MayLoad(*it, aDemand.mModel)) {
        return;
      }
      ++warm;
      mWarmVms.insert(it->mVm.mId);
      Release(*it, "", aDemand.mModel);
    }
  }

  const DomainInput& mInput;
  const TimePoint mNow;
  uint32_t mLoadsLeft;
  std::set<std::string> mUsed;
  std::set<std::string> mWarmVms;
  std::vector<DueOrder> mDue;
};

} // namespace

std::vector<DueOrder>
DecideOrders(const DomainInput& aInput,
             const std::vector<WarmDemand>& aWarm,
             uint32_t aLoads,
             TimePoint aNow)
{
  return OrderPlanner(aInput, aLoads, aNow).Run(aWarm);
}

} // namespace hibiscushold
