#pragma once

#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "config/agent.h"
#include "groups/engine.h"
#include "groups/formation.h"
#include "groups/leaseclient.h"
#include "groups/orders.h"
#include "observe/metrics.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hibiscushold {

/// Manages the groups of the fabric domains whose lease this node holds: plans
/// them, stores the plan and sends the orders that follow from it to the
/// engines. Not thread-safe.
class GroupManager
{
public:
  /// @return the role of this node in the lease of a domain
  using RoleFunction = std::function<LeaseRole(const std::string& aDomain)>;

  struct Dependencies
  {
    Platform& mPlatform;
    const ViewWatcher& mViews;
    const VmList& mVms;
    const ProbeTable& mProbes;
    const ConfigAgent& mConfig;
    EngineClient& mEngines;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  GroupManager(std::string aNodeId,
               Dependencies aDependencies,
               RoleFunction aDecideRole,
               Duration aLeaseTerm,
               Duration aMaxProbeAge);

  /// Performs one round: for each domain that is listed or stored, makes the
  /// lease call that is due, then plans the domain if its lease is held.
  void Step();

private:
  struct DomainState
  {
    LeaseState mLease;
    std::map<std::string, GroupTimes> mGroupTimes;
    std::map<std::string, VmTimes> mVmTimes;
    TimePoint mHeldSince; ///< when the lease was acquired
    TimePoint mPlanAfter; ///< every VM has been probed by then
    /// Version of the domain object last written or read.
    uint64_t mStoredVersion = 0;
    bool mWriteUncertain = false; ///< a write failed or its outcome is unknown
    /// An engine refused an order, as it has accepted a higher order number.
    bool mOrderRefused = false;
    /// Groups and generations already logged as not ready in time.
    std::set<std::pair<std::string, uint64_t>> mReportedLate;
  };

  bool MaintainLease(const std::string& aDomain, DomainState& aState);
  void ManageDomain(const std::string& aDomain, DomainState& aState);
  bool IsViewCurrent(const std::string& aDomain,
                     uint64_t aVersion,
                     DomainState& aState);
  DomainInput Gather(const std::string& aDomain,
                     const ClusterView& aView,
                     DomainState& aState) const;
  void Plan(DomainInput& aInput,
            const ActiveConfigPtr& aConfig,
            uint64_t aVersion,
            DomainState& aState);
  void Store(Domain aDomain, uint64_t aVersion, DomainState& aState);
  void SendOrder(const DueOrder& aDue, DomainState& aState);

  const std::string mNodeId;
  Dependencies mDependencies;
  const RoleFunction mDecideRole;
  const Duration mMaxProbeAge;
  LeaseClient mLeases;
  std::map<std::string, DomainState> mDomains;
};

} // namespace hibiscushold
