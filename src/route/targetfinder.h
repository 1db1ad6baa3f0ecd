#pragma once

#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "groups/probetable.h"
#include "route/choose.h"
#include "route/healthtable.h"
#include "route/inflight.h"
#include "route/match.h"
#include "route/targetlimits.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace hibiscushold {

/// Index of the groups by rule and of the VMs by pool. It owns the snapshots
/// that its pointers refer to.
struct TargetIndex
{
  ViewWatcher::ViewPtr mView;
  VmList::ListPtr mVms;
  std::map<std::string, const Vm*, std::less<>> mVmsById;
  std::map<std::string, std::vector<const Group*>, std::less<>> mGroupsByRule;
  std::map<std::string, std::vector<const Vm*>, std::less<>> mLiveVmsByPool;
};

/// Builds the index for one snapshot of the cluster and one of the VM list.
/// Groups with a leaving VM are omitted.
TargetIndex
IndexTargets(ViewWatcher::ViewPtr aView, VmList::ListPtr aVms);

/// Finds the targets that can be sent a request now. Thread-safe.
class TargetFinder
{
public:
  struct Dependencies
  {
    const ViewWatcher& mViews;
    const VmList& mVms;
    const ProbeTable& mProbes;
    const InFlightTable& mInFlight;
    const TargetLimits& mLimits;
    const HealthTable& mHealth;
    const Clock& mClock;
  };

  /// @param aZone zone of this node
  /// @param aMaxProbeAge maximum age of the probe results by which a group
  ///        counts as serving
  TargetFinder(std::string aZone,
               Dependencies aDependencies,
               Duration aMaxProbeAge);

  /// @param aTried ids of the targets at which the request has failed
  /// @return the available targets, including tried and ejected ones
  std::vector<Candidate> Find(const RouteMatch& aMatch,
                              const std::set<std::string>& aTried) const;

private:
  using IndexPtr = std::shared_ptr<const TargetIndex>;

  /// @return the index of the latest snapshots, rebuilt if they have changed
  IndexPtr Index() const;
  std::vector<Candidate> FindGroups(const TargetIndex& aIndex,
                                    const GroupRule& aRule) const;
  std::vector<Candidate> FindVms(const TargetIndex& aIndex,
                                 const ServiceRule& aRule) const;

  const std::string mZone;
  const Dependencies mDependencies;
  const Duration mMaxProbeAge;
  mutable std::mutex mLock;
  mutable IndexPtr mIndex; ///< cached result of Index()
};

} // namespace hibiscushold
