#include "groups/groupmanager.h"

#include "core/ids.h"
#include "groups/observedvms.h"
#include "groups/warmmodels.h"
#include "observe/events.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

constexpr auto kOrderTimeout = milliseconds(700);
/// Assumed upper bound of the time between sending an order and its effect, for
/// pools whose engines don't check fencing numbers.
constexpr auto kMaxOrderDelay = milliseconds(5000);
/// Limit of VMs that load weights at the same time, over all domains.
constexpr uint32_t kMaxConcurrentLoads = 64;
/// A group that is still forming after this time is logged.
constexpr auto kFormingReportDelay = milliseconds(120000);

std::set<std::string>
DomainNames(std::span<const Vm> aVms)
{
  std::set<std::string> names;
  for (const Vm& it : aVms) {
    if (!it.mDomain.empty()) {
      names.insert(it.mDomain);
    }
  }
  return names;
}

} // namespace

GroupManager::GroupManager(std::string aNodeId,
                           Dependencies aDependencies,
                           RoleFunction aDecideRole,
                           Duration aLeaseTerm,
                           Duration aMaxProbeAge)
  : mNodeId(std::move(aNodeId))
  , mDependencies(aDependencies)
  , mDecideRole(std::move(aDecideRole))
  , mMaxProbeAge(aMaxProbeAge)
  , mLeases(mNodeId, mDependencies.mPlatform, mDependencies.mClock, aLeaseTerm)
{
}

void
GroupManager::Step()
{
  std::set<std::string> names = DomainNames(*mDependencies.mVms.Vms());
  for (const auto& [name, domain] : mDependencies.mViews.View()->mDomains) {
    names.insert(name);
  }
  for (const std::string& it : names) {
    DomainState& state = mDomains[it];
    if (MaintainLease(it, state)) {
      ManageDomain(it, state);
    }
  }
}

bool
GroupManager::MaintainLease(const std::string& aDomain, DomainState& aState)
{
  const ViewWatcher::ViewPtr view = mDependencies.mViews.View();
  const auto stored = view->mDomains.find(aDomain);
  const uint64_t domainEpoch =
    stored == view->mDomains.end() ? 0 : stored->second.mValue.mEpoch;
  LeaseRole role = mDecideRole(aDomain);
  if (role != LeaseRole::Ineligible &&
      HasNoRecentProbe(Gather(aDomain, *view, aState),
                       mDependencies.mClock.Now())) {
    // This node can't reach the VMs, so another member should hold the lease.
    role = LeaseRole::Ineligible;
  }
  const bool heldBefore = aState.mLease.mHeld;
  const uint64_t epochBefore = aState.mLease.mLease.mEpoch;
  mLeases.Step(aDomain, role, domainEpoch, aState.mLease);
  const TimePoint now = mDependencies.mClock.Now();
  const bool mayAct = HoldsLease(aState.mLease, now);
  const bool acquired =
    !heldBefore || epochBefore != aState.mLease.mLease.mEpoch;
  if (mayAct && acquired) {
    LeaseState lease = std::move(aState.mLease);
    aState = DomainState{};
    aState.mLease = std::move(lease);
    aState.mHeldSince = now;
    aState.mPlanAfter = now + mMaxProbeAge;
  }
  return mayAct;
}

DomainInput
GroupManager::Gather(const std::string& aDomain,
                     const ClusterView& aView,
                     DomainState& aState) const
{
  DomainInput input;
  const auto stored = aView.mDomains.find(aDomain);
  if (stored != aView.mDomains.end()) {
    input.mCurrent = stored->second.mValue;
  }
  input.mCurrent.mName = aDomain;
  input.mMaxProbeAge = mMaxProbeAge;
  input.mMaxOrderDelay = kMaxOrderDelay;
  input.mLeaseHeldSince = aState.mHeldSince;
  input.mVms =
    SelectVms(*mDependencies.mVms.Vms(), aView, aDomain, mDependencies.mProbes);
  return input;
}

/// Checks that the view includes this node's own last write, as it must not act
/// on an older one. After a write that failed or whose outcome is unknown,
/// reads the object to learn its version.
/// @param aVersion version of the domain object in the view
/// @return whether the view is recent enough to act on
bool
GroupManager::IsViewCurrent(const std::string& aDomain,
                            uint64_t aVersion,
                            DomainState& aState)
{
  if (aState.mWriteUncertain) {
    const std::string key = std::string(kDomainPrefix) + aDomain;
    Result<Object> object =
      mDependencies.mPlatform.Get(key, CallPriority::Lease);
    const bool missing =
      !object && object.error().mError == Error::StoreMissing;
    if (!object && !missing) {
      return false;
    }
    aState.mWriteUncertain = false;
    aState.mStoredVersion = missing ? 0 : object.value().mVersion;
  }
  return aVersion >= aState.mStoredVersion;
}

void
GroupManager::ManageDomain(const std::string& aDomain, DomainState& aState)
{
  const ViewWatcher::ViewPtr view = mDependencies.mViews.View();
  const auto stored = view->mDomains.find(aDomain);
  const uint64_t version =
    stored == view->mDomains.end() ? 0 : stored->second.mVersion;
  if (!IsViewCurrent(aDomain, version, aState)) {
    return;
  }
  DomainInput input = Gather(aDomain, *view, aState);
  const uint64_t epoch = aState.mLease.mLease.mEpoch;
  if (input.mCurrent.mEpoch > epoch) {
    // The lease object was created again with an epoch below the domain's. Let
    // it expire and acquire it with a higher epoch.
    aState.mLease.mHeld = false;
    return;
  }
  if (input.mCurrent.mEpoch < epoch || version == 0 || aState.mOrderRefused) {
    // The epoch is stored first, so that writes of a previous holder fail.
    aState.mOrderRefused = false;
    input.mCurrent.mEpoch = epoch;
    Store(std::move(input.mCurrent), version, aState);
    return;
  }
  const ActiveConfigPtr config = mDependencies.mConfig.Active();
  const bool current =
    config->mVersion == view->mHead.mValue.mAccepted.mVersion;
  const TimePoint now = mDependencies.mClock.Now();
  std::map<std::string, VmTimes> times;
  for (ObservedVm& it : input.mVms) {
    it.mTimes = UpdateVmTimes(
      aState.mVmTimes[it.mVm.mId], it.mVm, it.mLastProbe, now, mMaxProbeAge);
    times[it.mVm.mId] = it.mTimes;
  }
  aState.mVmTimes = std::move(times);
  if (current) {
    std::map<std::string, Domain> domains;
    for (const auto& [name, domain] : view->mDomains) {
      domains[name] = domain.mValue;
    }
    input.mCopies = AllocateCopies(config->mRules,
                                   *mDependencies.mVms.Vms(),
                                   domains,
                                   mDependencies.mClock.WallMillis())[aDomain];
    input.mNextGroup = view->mRevision;
    Plan(input, config, version, aState);
  }
}

void
GroupManager::Plan(DomainInput& aInput,
                   const ActiveConfigPtr& aConfig,
                   uint64_t aVersion,
                   DomainState& aState)
{
  const TimePoint now = mDependencies.mClock.Now();
  aInput.mTimes = aState.mGroupTimes;
  std::map<std::string, GroupTimes> times =
    UpdateGroupTimes(aConfig->mRules, aInput, now);
  for (const auto& [id, it] : times) {
    const bool late = it.mPhase == GroupPhase::Forming &&
                      now >= it.mPhaseSince + kFormingReportDelay;
    if (late && aState.mReportedLate.insert({ id, it.mGeneration }).second) {
      LogEvent(EventId::GroupNotReady,
               { { "domain", aInput.mCurrent.mName },
                 { "group", id },
                 { "generation", std::to_string(it.mGeneration) } });
    }
  }
  aState.mGroupTimes = std::move(times);
  aInput.mTimes = aState.mGroupTimes;
  // Until every VM has been probed, send only the orders of the stored state.
  Domain next = now < aState.mPlanAfter
                  ? aInput.mCurrent
                  : PlanDomain(aConfig->mRules, aInput, now);
  if (next != aInput.mCurrent) {
    Store(std::move(next), aVersion, aState);
    return;
  }
  const size_t domains = DomainNames(*mDependencies.mVms.Vms()).size();
  const uint32_t loads = std::max<uint32_t>(
    1,
    kMaxConcurrentLoads / static_cast<uint32_t>(std::max<size_t>(1, domains)));
  const std::vector<WarmDemand> warm = DecideWarmModels(
    aConfig->mRules, aInput.mCopies, mDependencies.mClock.WallMillis());
  for (const DueOrder& it : DecideOrders(aInput, warm, loads, now)) {
    SendOrder(it, aState);
  }
}

void
GroupManager::Store(Domain aDomain, uint64_t aVersion, DomainState& aState)
{
  if (!HoldsLease(aState.mLease, mDependencies.mClock.Now())) {
    return;
  }
  aDomain.mOrderNumber =
    NextOrderNumber(aDomain, mDependencies.mClock.WallMillis());
  const std::string key = std::string(kDomainPrefix) + aDomain.mName;
  const std::string text = SerializeDomain(aDomain);
  Result<uint64_t> written =
    aVersion == 0
      ? mDependencies.mPlatform.Create(key, text, CallPriority::Lease)
      : mDependencies.mPlatform.Update(
          key, text, aVersion, CallPriority::Lease);
  if (written) {
    aState.mStoredVersion = written.value();
    LogEvent(EventId::GroupChanged,
             { { "domain", aDomain.mName },
               { "groups", std::to_string(aDomain.mGroups.size()) } });
  } else if (written.error().mError != Error::StoreThrottled) {
    aState.mWriteUncertain = true;
  }
}

void
GroupManager::SendOrder(const DueOrder& aDue, DomainState& aState)
{
  // Checked before each order, so that a process that was suspended past the
  // end of its lease sends none.
  const TimePoint now = mDependencies.mClock.Now();
  if (!HoldsLease(aState.mLease, now)) {
    return;
  }
  const TimePoint deadline =
    std::min(now + kOrderTimeout, aState.mLease.mHeldUntil);
  VmTimes& times = aState.mVmTimes[aDue.mVm];
  times.mOrderedAt = now;
  Result<void> sent =
    mDependencies.mEngines.SendOrder(aDue.mAddress, aDue.mOrder, deadline);
  mDependencies.mMetrics.CountOrder(sent ? "taken"
                                         : ErrorName(sent.error().mError));
  if (!sent) {
    aState.mOrderRefused =
      aState.mOrderRefused || sent.error().mError == Error::OrderRefused;
    LogEvent(EventId::OrderFailed,
             { { "vm", aDue.mVm }, { "reason", Describe(sent.error()) } });
    return;
  }
  const bool countsAsRelease = !times.mReleaseAcceptedAt ||
                               !aDue.mRetiredGroup.empty() ||
                               aDue.mOrder.mModel.empty();
  if (aDue.mOrder.mGroup.empty() && countsAsRelease) {
    RecordRelease(times, aDue.mRetiredGroup, mDependencies.mClock.Now());
  }
}

} // namespace hibiscushold
