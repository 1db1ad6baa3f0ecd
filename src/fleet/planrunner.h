#pragma once

#include "core/workqueue.h"
#include "fleet/choice.h"
#include "fleet/planner.h"
#include "fleet/watcher.h"
#include "groups/leaseshell.h"
#include "observe/metrics.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace hibiscushold {

/// Plans the groups of all engine services while it holds the planner's lease,
/// and competes for the lease while it does not.
class PlanRunner
{
public:
  struct Parts
  {
    Platform& mPlatform;
    const FleetWatcher& mWatcher;
    EngineGate& mEngines;
    const TargetLoads& mLoads;
    Metrics& mMetrics;
    const Clock& mClock;
    std::function<bool()> mIsBeforeTraffic;
    const std::atomic<bool>& mStopping;
  };

  PlanRunner(std::string aNodeId, Parts aParts, PlannerBounds aBounds);

  /// Renews, takes or watches the lease.
  /// @param aOldReadsDo look at a lease of others by readings that may be some
  ///        seconds old; only a conditional write takes it
  void LeaseStep(bool aOldReadsDo);

  /// Plans once and gives the orders, if this node holds the lease.
  void PlanOnce();

  /// @return whether this node holds the lease
  bool IsPlanner();

private:
  struct Service
  {
    PlannerState mState;
    std::map<std::string, TimePoint> mAskedAt; ///< by VM
    PlannerCounts mCounts;                     ///< as last logged
    TimePoint mLogAgainAt;
  };

  FleetVmsPtr FreshVms();
  void PlanService(const FleetService& aService, const FleetVmsPtr& aVms);
  void LogCounts(const std::string& aName,
                 Service& aService,
                 const PlannerView& aView);
  void AskSuspects(Service& aService,
                   const EngineSpec& aEngine,
                   const FleetVms& aVms);
  void Ask(const std::string& aService, const std::string& aVmId, Endpoint aTo);
  void Give(const std::string& aService, FleetOrder aOrder);

  const Parts mParts;
  const PlannerBounds mBounds;
  const TimePoint mPlansFrom; ///< VMs are taken as listed from here on
  LeaseShell mLeases;
  std::mutex mLeaseLock; ///< guards mLease
  LeaseState mLease;
  uint64_t mFreshFence = 0; ///< the planning thread's; fence of mFreshAt
  TimePoint mFreshAt;       ///< VMs read before this are not planned with
  TimePoint mListAgainAt;   ///< the planning thread's
  std::mutex mLock;         ///< guards what follows
  uint64_t mFence = 0;
  std::map<std::string, Service> mServices;
  WorkQueue mQueue; ///< last, so that its threads end first
};

} // namespace hibiscushold
