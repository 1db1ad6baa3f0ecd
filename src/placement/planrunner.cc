#include "placement/planrunner.h"

#include "observe/events.h"
#include "observe/taskfailure.h"
#include "placement/suspects.h"

namespace hibiscushold {

namespace {

constexpr const char* kLeaseName = "planner";
/// A failed planner is replaced after this time. A shorter lease costs more
/// calls to renew and observe it.
constexpr auto kLeaseDuration = milliseconds(1200);
/// Interval at which a new planner lists the VMs itself until the watched list
/// is newer than its lease, which takes one watch. A list costs a call per
/// page.
constexpr auto kListInterval = milliseconds(200);
/// How long a node that was cut off from its VMs does not take the lease.
constexpr auto kCutOffTime = milliseconds(3000);
/// Orders go to many VMs at once, and an order to a dead VM occupies its thread
/// until the timeout.
constexpr size_t kOrderThreads = 24;
/// Probes of a domain that is cut off must not delay orders.
constexpr size_t kProbeThreads = 24;
/// Shortest interval between log events with the counts of a service's VMs.
constexpr auto kCountsLogInterval = milliseconds(1000);
/// A live VM responds within milliseconds, however busy it is.
constexpr auto kProbeTimeout = milliseconds(120);
/// Interval of the probes of a suspected VM that responds. Probes are priced.
constexpr auto kResponsiveProbeInterval = milliseconds(480);

} // namespace

PlanRunner::PlanRunner(std::string aNodeId,
                       Dependencies aDependencies,
                       PlannerLimits aLimits)
  : mDependencies(std::move(aDependencies))
  , mLimits(aLimits)
  // A process that has just started cannot know whether the store was
  // unavailable before.
  , mPlanningStartsAt(mDependencies.mClock.Now() + kStoreRecoveryTime)
  , mLeases(std::move(aNodeId),
            mDependencies.mPlatform,
            mDependencies.mClock,
            kLeaseDuration)
  , mOrderQueue(kOrderThreads, LogFailuresOf("order", mDependencies.mMetrics))
  , mProbeQueue(kProbeThreads, LogFailuresOf("probe", mDependencies.mMetrics))
{
}

void
PlanRunner::UpdateLease(bool aAllowStaleReads)
{
  LeaseState lease;
  {
    const std::lock_guard guard(mLeaseLock);
    lease = mLease;
  }
  const bool isEligible = !mDependencies.mStopping && !IsCutOff();
  const LeaseRole role =
    isEligible ? LeaseRole::Preferred : LeaseRole::Ineligible;
  lease.mAllowStaleReads =
    aAllowStaleReads && !lease.mHeld && !lease.mPendingWrite;
  mLeases.Step(kLeaseName, role, 0, lease);
  const std::lock_guard guard(mLeaseLock);
  mLease = lease;
}

bool
PlanRunner::IsLeaseHolder()
{
  const std::lock_guard guard(mLeaseLock);
  return HoldsLease(mLease, mDependencies.mClock.Now()) &&
         !mDependencies.mStopping;
}

void
PlanRunner::PlanOnce()
{
  if (!IsLeaseHolder()) {
    return;
  }
  uint64_t fence = 0;
  {
    const std::lock_guard guard(mLeaseLock);
    fence = mLease.mLease.mEpoch;
  }
  if (fence != mLeaseTakenFence) {
    mLeaseTakenFence = fence;
    mLeaseTakenAt = mDependencies.mClock.Now();
  }
  const FleetConfigPtr config = mDependencies.mWatcher.Config();
  const ZonesOutPtr zones = mDependencies.mZones();
  if (config == nullptr || zones == nullptr) {
    return;
  }
  const FleetVmsPtr vms = FreshVms();
  if (vms == nullptr) {
    return;
  }
  const std::lock_guard guard(mLock);
  if (fence != mFence) {
    mServices.clear();
    mFence = fence;
  }
  for (const auto& [name, service] : config->mServices) {
    if (service.mEngine && !service.mEngine->mModels.empty()) {
      PlanService(service, vms, *zones);
    }
  }
}

FleetVmsPtr
PlanRunner::FreshVms()
{
  // Entries that expired while the store was unavailable are not restored yet;
  // without them, whole groups would look broken.
  const bool mayLackEntries = mDependencies.mClock.Now() < mPlanningStartsAt &&
                              !mDependencies.mIsBeforeTraffic();
  // In this order, the list is at least as new as asOf, and settled if the
  // watcher is.
  const TimePoint asOf = mDependencies.mWatcher.VmsAsOf();
  FleetVmsPtr watched = mDependencies.mWatcher.Vms();
  if (!mDependencies.mWatcher.IsSettled() || mayLackEntries) {
    return nullptr;
  }
  // An older list may lack the effect of the previous planner's last orders.
  if (asOf > mLeaseTakenAt) {
    return watched;
  }
  const TimePoint now = mDependencies.mClock.Now();
  if (now < mNextListAt) {
    return nullptr;
  }
  mNextListAt = now + kListInterval;
  Result<FleetVms> vms = mDependencies.mWatcher.ReadVms();
  if (!vms) {
    LogEvent(EventId::StoreLost,
             { { "objects", "vms" }, { "reason", Describe(vms.error()) } });
    return nullptr;
  }
  return std::make_shared<const FleetVms>(std::move(vms.value()));
}

void
PlanRunner::PlanService(const FleetService& aService,
                        const FleetVmsPtr& aVms,
                        const ZonesOut& aZones)
{
  const TimePoint now = mDependencies.mClock.Now();
  auto [it, isNew] = mServices.try_emplace(aService.mName);
  Service& service = it->second;
  if (isNew) {
    service.mState = MakePlannerState(mFence);
  }
  ProbeVms(
    aService,
    FindSuspects(
      service.mState, *aService.mEngine, *aVms, mDependencies.mLoads, now),
    service);
  RecordCut(aService.mName, service.mState);
  if (IsCutOff()) {
    return;
  }
  const PlannerView view{ *aVms,
                          aService.mName,
                          *aService.mEngine,
                          mDependencies.mIsBeforeTraffic(),
                          &aZones };
  PlannerStep step = PlanStep(service.mState, view, mLimits, now);
  for (FleetOrder& order : step.mOrders) {
    SendOrder(aService.mName, std::move(order));
  }
  ProbeVms(aService, step.mToAsk, service);
  LogCounts(aService.mName, service, view);
  LogUnformable(service, view);
}

void
PlanRunner::LogUnformable(Service& aService, const PlannerView& aView)
{
  // Before the first request VMs are still appearing.
  if (aView.mBeforeTraffic) {
    return;
  }
  std::set<std::string> models = FindUnformableModels(aView);
  for (const std::string& it : models) {
    if (!aService.mUnformable.contains(it)) {
      LogEvent(EventId::ModelNotFormable,
               { { "service", aView.mService }, { "model", it } });
    }
  }
  aService.mUnformable = std::move(models);
}

void
PlanRunner::LogCounts(const std::string& aName,
                      Service& aService,
                      const PlannerView& aView)
{
  const TimePoint now = mDependencies.mClock.Now();
  const PlannerCounts counts = CountVms(aService.mState, aView, now);
  if (now < aService.mNextLogAt || counts == aService.mCounts) {
    return;
  }
  aService.mCounts = counts;
  aService.mNextLogAt = now + kCountsLogInterval;
  std::string spares;
  for (const auto& [where, n] : counts.mFreeByModel) {
    spares += where.first + ":" + where.second + "=" + std::to_string(n) + " ";
  }
  LogEvent(EventId::FleetCounts,
           { { "service", aName },
             { "live", std::to_string(counts.mListed) },
             { "serving", std::to_string(counts.mServing) },
             { "forming", std::to_string(counts.mForming) },
             { "loading", std::to_string(counts.mLoading) },
             { "locked", std::to_string(counts.mLocked) },
             { "spare", std::to_string(counts.mFree) },
             { "silent", std::to_string(counts.mUnresponsive) },
             { "leaving", std::to_string(counts.mLeaving) },
             { "lapsed", std::to_string(counts.mLapsed) },
             { "spares", spares } });
}

void
PlanRunner::RecordCut(const std::string& aService, const PlannerState& aState)
{
  const TimePoint now = mDependencies.mClock.Now();
  const CallSummary summary = SummarizeCalls(aState, now);
  if (!SuggestsCut(summary)) {
    return;
  }
  if (!IsCutOff()) {
    LogEvent(EventId::PlannerCutOff,
             { { "service", aService },
               { "missing", std::to_string(summary.mMissing) } });
  }
  mCutOffUntil = now + kCutOffTime;
}

bool
PlanRunner::IsCutOff() const
{
  return mDependencies.mClock.Now() < mCutOffUntil.load() ||
         !mDependencies.mReachesTargets();
}

void
PlanRunner::ProbeVms(const FleetService& aService,
                     const std::set<std::string>& aVmIds,
                     Service& aState)
{
  const TimePoint now = mDependencies.mClock.Now();
  for (const std::string& it : aVmIds) {
    const auto vm = aState.mState.mVms.find(it);
    if (vm == aState.mState.mVms.end() || vm->second.mAddress.mHost.empty() ||
        mDependencies.mLoads.Get(it).mQuietUntil > now) {
      continue;
    }
    const auto interval = IsInDoubt(vm->second.mSilence, now)
                            ? kProbeInterval
                            : kResponsiveProbeInterval;
    TimePoint& probedAt = aState.mProbedAt[it];
    if (now - probedAt > interval && aState.mProbing.insert(it).second) {
      probedAt = now;
      try {
        Probe(aService.mName, it, vm->second.mAddress);
      } catch (...) {
        aState.mProbing.erase(it);
        throw;
      }
    }
  }
}

void
PlanRunner::Probe(const std::string& aService,
                  const std::string& aVmId,
                  Endpoint aTo)
{
  mProbeQueue.Add([this, aService, aVmId, to = std::move(aTo)] {
    try {
      AskVm(aService, aVmId, to);
    } catch (...) {
      EndProbe(aService, aVmId);
      throw;
    }
    EndProbe(aService, aVmId);
  });
}

void
PlanRunner::AskVm(const std::string& aService,
                  const std::string& aVmId,
                  const Endpoint& aTo)
{
  const TimePoint sentAt = mDependencies.mClock.Now();
  const Result<EngineReport> report =
    mDependencies.mEngines.GetReport(aTo, kProbeTimeout);
  LogEvent(EventId::VmAsked,
           { { "vm", aVmId },
             { "answer", report ? "alive" : Describe(report.error()) } });
  const std::lock_guard guard(mLock);
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return;
  }
  const CallTimes times{ sentAt, mDependencies.mClock.Now() };
  if (report) {
    RecordReport(it->second.mState, aVmId, report.value(), times);
  } else {
    RecordProbe(it->second.mState, aVmId, false, times);
  }
}

void
PlanRunner::EndProbe(const std::string& aService, const std::string& aVmId)
{
  const std::lock_guard guard(mLock);
  const auto it = mServices.find(aService);
  if (it != mServices.end()) {
    it->second.mProbing.erase(aVmId);
  }
}

bool
PlanRunner::IsStillPlanned(const std::string& aService,
                           const FleetOrder& aOrder)
{
  if (aOrder.mKind != OrderKind::Join && aOrder.mKind != OrderKind::Open) {
    return true;
  }
  const std::lock_guard guard(mLock);
  const auto it = mServices.find(aService);
  return it != mServices.end() && aOrder.mFence == mFence &&
         it->second.mState.mGroups.contains(aOrder.mGroup);
}

void
PlanRunner::SendOrder(const std::string& aService, FleetOrder aOrder)
{
  mOrderQueue.Add([this, aService, order = std::move(aOrder)] {
    if (!IsLeaseHolder()) {
      return;
    }
    if (!IsStillPlanned(aService, order)) {
      LogEvent(EventId::OrderWithdrawn,
               { { "order", NameOf(order.mKind) },
                 { "vm", order.mVmId },
                 { "group", order.mGroup.mName } });
      return;
    }
    const TimePoint sentAt = mDependencies.mClock.Now();
    const OrderOutcome outcome = mDependencies.mEngines.SendOrder(order);
    mDependencies.mMetrics.CountOrder(NameOf(outcome));
    LogEvent(EventId::OrderGiven,
             { { "order", NameOf(order.mKind) },
               { "vm", order.mVmId },
               { "group", order.mGroup.mName },
               { "fence", std::to_string(order.mFence) },
               { "outcome", NameOf(outcome) } });
    const std::lock_guard guard(mLock);
    const auto it = mServices.find(aService);
    if (it != mServices.end() && order.mFence == mFence) {
      RecordOutcome(it->second.mState,
                    order,
                    outcome,
                    { sentAt, mDependencies.mClock.Now() });
    }
  });
}

} // namespace hibiscushold
