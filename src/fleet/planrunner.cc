#include "fleet/planrunner.h"

#include "fleet/choice.h"
#include "observe/events.h"

namespace hibiscushold {

namespace {

constexpr const char* kLeaseName = "planner";
/// A planner that died is replaced after this; each renewal and each look at
/// the lease costs a call.
constexpr auto kLeaseTerm = milliseconds(1200);
/// A process that has just begun cannot know that the store was away; the
/// platform puts entries that lapsed back within two seconds.
constexpr auto kReturnTime = milliseconds(2300);
/// A new planner lists the VMs itself until what it follows is as new as its
/// lease, which takes one question; each list is a call a page.
constexpr auto kListGap = milliseconds(200);
/// Orders go to many VMs at once, and a dead VM holds a thread until the
/// order's time is over.
constexpr size_t kThreads = 24;
/// The use of VMs is logged at most this often.
constexpr auto kCountsGap = milliseconds(1000);
/// A VM answers within milliseconds, whatever it does.
constexpr auto kAskLimit = milliseconds(120);
constexpr auto kAskGap = milliseconds(160);
/// Questions at once, each on a connection of its own, as a packet may be lost;
/// a VM that answers none of them counts as silent.
constexpr int kQuestions = 2;
/// The planner asks after members as early as requests give a head up.
constexpr StallLimits kSuspicion{ milliseconds(200),
                                  milliseconds(250),
                                  milliseconds(450) };

} // namespace

PlanRunner::PlanRunner(std::string aNodeId, Parts aParts, PlannerBounds aBounds)
  : mParts(std::move(aParts))
  , mBounds(aBounds)
  , mPlansFrom(mParts.mClock.Now() + kReturnTime)
  , mLeases(std::move(aNodeId), mParts.mPlatform, mParts.mClock, kLeaseTerm)
  , mQueue(kThreads)
{
}

void
PlanRunner::LeaseStep(bool aOldReadsDo)
{
  LeaseState lease;
  {
    const std::lock_guard guard(mLeaseLock);
    lease = mLease;
  }
  const LeaseRole role =
    mParts.mStopping ? LeaseRole::Bystander : LeaseRole::Preferred;
  lease.mOldReadsDo = aOldReadsDo && !lease.mHeld && !lease.mUnsettled;
  mLeases.Step(kLeaseName, role, 0, lease);
  const std::lock_guard guard(mLeaseLock);
  mLease = lease;
}

bool
PlanRunner::IsPlanner()
{
  const std::lock_guard guard(mLeaseLock);
  return MayAct(mLease, mParts.mClock.Now()) && !mParts.mStopping;
}

void
PlanRunner::PlanOnce()
{
  if (!IsPlanner()) {
    return;
  }
  uint64_t fence = 0;
  {
    const std::lock_guard guard(mLeaseLock);
    fence = mLease.mLease.mEpoch;
  }
  if (fence != mFreshFence) {
    mFreshFence = fence;
    mFreshAt = mParts.mClock.Now();
  }
  const FleetConfigPtr config = mParts.mWatcher.Config();
  if (config == nullptr) {
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
      PlanService(service, vms);
    }
  }
}

FleetVmsPtr
PlanRunner::FreshVms()
{
  // Entries that lapsed with the store are not yet back; without them, whole
  // groups would look broken.
  const bool hasSeenLittle =
    mParts.mClock.Now() < mPlansFrom && !mParts.mIsBeforeTraffic();
  if (!mParts.mWatcher.IsSettled() || hasSeenLittle) {
    return nullptr;
  }
  // What is followed may lack what an earlier planner ordered last.
  if (mParts.mWatcher.VmsReadAt() > mFreshAt) {
    return mParts.mWatcher.Vms();
  }
  const TimePoint now = mParts.mClock.Now();
  if (now < mListAgainAt) {
    return nullptr;
  }
  mListAgainAt = now + kListGap;
  Result<FleetVms> vms = mParts.mWatcher.ReadVms();
  if (!vms) {
    LogEvent(EventId::StoreLost,
             { { "objects", "vms" }, { "reason", Describe(vms.error()) } });
    return nullptr;
  }
  return std::make_shared<const FleetVms>(std::move(vms.value()));
}

void
PlanRunner::PlanService(const FleetService& aService, const FleetVmsPtr& aVms)
{
  const TimePoint now = mParts.mClock.Now();
  auto [it, isNew] = mServices.try_emplace(aService.mName);
  Service& service = it->second;
  if (isNew) {
    service.mState = StartPlanning(mFence);
  }
  AskSuspects(service, *aService.mEngine, *aVms);
  const PlannerView view{
    *aVms, aService.mName, *aService.mEngine, mParts.mIsBeforeTraffic()
  };
  PlannerStep step = PlanStep(service.mState, view, mBounds, now);
  for (FleetOrder& order : step.mOrders) {
    Give(aService.mName, std::move(order));
  }
  LogCounts(aService.mName, service, view);
}

void
PlanRunner::LogCounts(const std::string& aName,
                      Service& aService,
                      const PlannerView& aView)
{
  const TimePoint now = mParts.mClock.Now();
  const PlannerCounts counts = CountVms(aService.mState, aView, now);
  if (now < aService.mLogAgainAt || counts == aService.mCounts) {
    return;
  }
  aService.mCounts = counts;
  aService.mLogAgainAt = now + kCountsGap;
  std::string spares;
  for (const auto& [where, n] : counts.mSpares) {
    spares += where.first + ":" + where.second + "=" + std::to_string(n) + " ";
  }
  LogEvent(EventId::FleetCounts,
           { { "service", aName },
             { "live", std::to_string(counts.mLive) },
             { "serving", std::to_string(counts.mServing) },
             { "forming", std::to_string(counts.mForming) },
             { "loading", std::to_string(counts.mLoading) },
             { "locked", std::to_string(counts.mLocked) },
             { "spare", std::to_string(counts.mSpare) },
             { "silent", std::to_string(counts.mSilent) },
             { "leaving", std::to_string(counts.mLeaving) },
             { "spares", spares } });
}

void
PlanRunner::AskSuspects(Service& aService,
                        const EngineSpec& aEngine,
                        const FleetVms& aVms)
{
  const TimePoint now = mParts.mClock.Now();
  for (const auto& [key, group] : aService.mState.mGroups) {
    const std::string& head = group.mMembers[0];
    const TargetLoad load = mParts.mLoads.Get(head);
    const FleetModel* model = aEngine.FindModel(group.mModel);
    const bool suspect =
      IsStalled(load, now, kSuspicion) || load.mAvoidUntil > now + kAskGap ||
      (model != nullptr && IsSilentForAll(aEngine.TimesOf(*model), load, now));
    if (group.mStage != GroupStage::Serving || !suspect) {
      continue;
    }
    for (const std::string& it : group.mMembers) {
      const auto vm = aVms.find(it);
      TimePoint& askedAt = aService.mAskedAt[it];
      if (vm != aVms.end() && now - askedAt > kAskGap) {
        askedAt = now;
        for (int n = 0; n < kQuestions; ++n) {
          Ask(vm->second.mService, it, vm->second.mAddress);
        }
      }
    }
  }
}

void
PlanRunner::Ask(const std::string& aService,
                const std::string& aVmId,
                Endpoint aTo)
{
  mQueue.Add([this, aService, aVmId, to = std::move(aTo)] {
    const Result<EngineStanding> standing = mParts.mEngines.Ask(to, kAskLimit);
    LogEvent(EventId::VmAsked,
             { { "vm", aVmId },
               { "answer", standing ? "alive" : Describe(standing.error()) } });
    const std::lock_guard guard(mLock);
    const auto it = mServices.find(aService);
    if (it != mServices.end()) {
      RecordAnswer(
        it->second.mState, aVmId, standing.has_value(), mParts.mClock.Now());
    }
  });
}

void
PlanRunner::Give(const std::string& aService, FleetOrder aOrder)
{
  mQueue.Add([this, aService, order = std::move(aOrder)] {
    if (!IsPlanner()) {
      return;
    }
    const OrderOutcome outcome = mParts.mEngines.Give(order);
    mParts.mMetrics.CountOrder(NameOf(outcome));
    LogEvent(EventId::OrderGiven,
             { { "order", NameOf(order.mKind) },
               { "vm", order.mVmId },
               { "group", order.mGroup.mName },
               { "fence", std::to_string(order.mFence) },
               { "outcome", NameOf(outcome) } });
    const std::lock_guard guard(mLock);
    const auto it = mServices.find(aService);
    if (it != mServices.end() && order.mFence == mFence) {
      RecordOutcome(it->second.mState, order, outcome, mParts.mClock.Now());
    }
  });
}

} // namespace hibiscushold
