#pragma once

#include "fleet/coldtargets.h"
#include "fleet/watcher.h"
#include "fleet/zonesout.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold {

/// Derives the targets from the list of VMs, the configuration, the zones out
/// of service and the roster, anew after each change. Thread-safe.
class TargetList
{
public:
  /// @param aZones null if zones can't be taken out of service
  /// @param aSelf id of this node
  /// @param aColdFrom when this node's roster has settled
  /// @param aClock tells when the roster is too old for cold targets
  TargetList(const FleetWatcher& aWatcher,
             const ZoneFollower* aZones,
             std::string aSelf,
             ColdTolerance aTolerance,
             TimePoint aColdFrom,
             const Clock& aClock);

  /// @return the targets; none before the configuration and the zones are known
  FleetTargetsPtr Get();

  /// Sets the ids of the other nodes, as read from the store. Other nodes may
  /// forget one that doesn't read the roster, and share the rates of cold
  /// targets without it; it sends to none of these before it reads it again.
  /// @param aAsOf when they were last known to be current
  void SetRoster(std::vector<std::string> aOthers, TimePoint aAsOf);

private:
  struct Inputs
  {
    FleetVmsPtr mVms;
    FleetConfigPtr mConfig;
    ZonesOutPtr mZones;
    uint64_t mRoster = 0; ///< counts the changes of the roster
    bool mIsRosterCurrent = false;

    bool operator==(const Inputs&) const = default;
  };

  /// Call with mLock held.
  FleetTargetsPtr Derive(const Inputs& aInputs);
  /// Logs those that the list did not have before. Call with mLock held.
  void LogOddRanks(std::map<std::string, uint32_t> aRanks);

  const FleetWatcher& mWatcher;
  const ZoneFollower* const mZones;
  const std::string mSelf;
  const ColdTolerance mTolerance;
  const TimePoint mColdFrom;
  const Clock& mClock;
  std::mutex mLock; ///< guards the members below
  Inputs mInputs;
  FleetTargetsPtr mTargets;
  std::vector<std::string> mOthers;
  TimePoint mRosterAsOf{};
  uint64_t mRosterChanges = 0;               ///< 0: the roster was not read yet
  std::map<std::string, uint32_t> mOddRanks; ///< by VM, in the log
};

} // namespace hibiscushold
