#pragma once

#include "core/workqueue.h"
#include "fleet/targetchoice.h"
#include "fleet/watcher.h"
#include "groups/leaseclient.h"
#include "observe/metrics.h"
#include "placement/planner.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>

namespace hibiscushold {

/// Plans the groups of all engine services while this node holds the planner's
/// lease, and tries to acquire the lease otherwise.
class PlanRunner
{
public:
  struct Dependencies
  {
    Platform& mPlatform;
    const FleetWatcher& mWatcher;
    EngineControl& mEngines;
    const TargetLoads& mLoads;
    Metrics& mMetrics;
    const Clock& mClock;
    std::function<bool()> mIsBeforeTraffic;
    /// The zones out of service; null while they are unknown.
    std::function<ZonesOutPtr()> mZones;
    /// Whether this node's requests reach targets.
    std::function<bool()> mReachesTargets;
    const std::atomic<bool>& mStopping;
  };

  PlanRunner(std::string aNodeId,
             Dependencies aDependencies,
             PlannerLimits aLimits);

  /// Renews, acquires or observes the lease.
  /// @param aAllowStaleReads whether a lease of another node may be read from a
  ///        copy that is some seconds old; this is safe, as only a conditional
  ///        write acquires the lease
  void UpdateLease(bool aAllowStaleReads);

  /// Runs one planner step for each engine service and sends the orders, if
  /// this node holds the lease.
  void PlanOnce();

  /// @return whether this node holds the lease
  bool IsLeaseHolder();

private:
  struct Service
  {
    PlannerState mState;
    std::map<std::string, TimePoint> mProbedAt; ///< last probe, by VM
    std::set<std::string> mProbing;             ///< VMs with an open probe
    PlannerCounts mCounts;                      ///< last logged
    TimePoint mNextLogAt;
    std::set<std::string> mUnformable; ///< models in the log
  };

  /// Records whether the calls to a service's VMs suggest that this node is cut
  /// off from them.
  void RecordCut(const std::string& aService, const PlannerState& aState);
  /// @return whether this node is, or was lately, cut off from its VMs, which
  /// it
  ///         can't give orders to, and whose silence says nothing about them
  bool IsCutOff() const;
  /// @return a list of the VMs that is newer than the lease, or null
  FleetVmsPtr FreshVms();
  void PlanService(const FleetService& aService,
                   const FleetVmsPtr& aVms,
                   const ZonesOut& aZones);
  static void LogUnformable(Service& aService, const PlannerView& aView);
  void LogCounts(const std::string& aName,
                 Service& aService,
                 const PlannerView& aView);
  /// Asks VMs for their reports, each after its interval.
  void ProbeVms(const FleetService& aService,
                const std::set<std::string>& aVmIds,
                Service& aState);
  void Probe(const std::string& aService,
             const std::string& aVmId,
             Endpoint aTo);
  /// Asks a VM for its report, and records whether it responded.
  void AskVm(const std::string& aService,
             const std::string& aVmId,
             const Endpoint& aTo);
  void EndProbe(const std::string& aService, const std::string& aVmId);
  /// @return false for an order to join or to open a group that was given up
  ///         while the order waited for a thread
  bool IsStillPlanned(const std::string& aService, const FleetOrder& aOrder);
  void SendOrder(const std::string& aService, FleetOrder aOrder);

  const Dependencies mDependencies;
  const PlannerLimits mLimits;
  const TimePoint mPlanningStartsAt; ///< before, the list may lack VMs
  LeaseClient mLeases;
  /// A planner that is cut off from its VMs gives the lease to another node.
  std::atomic<TimePoint> mCutOffUntil{ TimePoint{} };
  std::mutex mLeaseLock; ///< guards mLease
  LeaseState mLease;
  // Used by the planning thread only:
  uint64_t mLeaseTakenFence = 0; ///< of the lease taken at mLeaseTakenAt
  TimePoint mLeaseTakenAt;       ///< older lists of VMs are not used
  TimePoint mNextListAt;         ///< no VMs are listed directly before then
  std::mutex mLock;              ///< guards the members below
  uint64_t mFence = 0;           ///< of the lease that mServices belongs to
  std::map<std::string, Service> mServices;
  // Declared last, so that their threads stop first:
  WorkQueue mOrderQueue;
  WorkQueue mProbeQueue;
};

} // namespace hibiscushold
