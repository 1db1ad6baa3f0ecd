#pragma once

#include "fleet/config.h"
#include "fleet/lapse.h"

#include <functional>
#include <mutex>
#include <string>

namespace hibiscushold {

/// The platform restores lost entries within two seconds after the store is
/// available again.
inline constexpr auto kStoreRecoveryTime = milliseconds(2300);

/// The platform objects that the watcher follows, and how to parse them.
struct FleetSource
{
  std::string mVmPrefix;
  std::string mConfigPrefix;
  std::string mConfigKey;
  std::function<Result<FleetVm>(const Object&)> mReadVm;
  std::function<Result<FleetConfig>(const Object&)> mReadConfig;
};

/// Watches the platform's list of VMs and the operator's configuration. A
/// configuration older than the one in force is ignored. A VM whose entry has
/// gone may be kept for a time (fleet/lapse.h). Thread-safe.
///
/// After the store has returned from an older copy, VMs may be missing and the
/// configuration may lack a change until they are written again. For that time
/// the list is not settled, and reads do not confirm the configuration. A
/// watcher that starts can't know when the store has returned, so it waits as
/// well, unless the era is recorded as complete or until it is
/// (store/erarecord.h).
class FleetWatcher
{
public:
  /// @param aLeaveBound how long a VM serves after its entry has gone; 0 if it
  ///        must get no request then
  FleetWatcher(Platform& aPlatform,
               FleetSource aSource,
               const Clock& aClock,
               milliseconds aLeaveBound = {});

  /// Waits for a change of the VMs, up to a timeout, and applies it.
  /// @param aPause pause afterwards, so that changes in quick succession cost a
  ///        single call
  void PollVms(Duration aPause);

  /// Waits for a change of the configuration, up to a timeout, and applies it.
  /// @param aPause pause afterwards
  void PollConfig(Duration aPause);

  /// @return the VMs, as of now where deadlines of lapses have passed
  FleetVmsPtr Vms() const;

  /// Lists the VMs directly, without changing the watched list. Unreadable
  /// entries are left out; VMs that are kept without an entry are added.
  /// @return the VMs, or StoreHistoryGone if the store has returned from an
  ///         older copy that the watched list doesn't show yet
  Result<FleetVms> ReadVms() const;

  /// @return whether the list of VMs is available, and the platform had time to
  ///         restore entries that expired while the store was unavailable
  bool IsSettled() const;

  /// @return when the watched list of VMs was last known to be current
  TimePoint VmsAsOf() const;

  /// @return the configuration in force, null until the first one is confirmed
  FleetConfigPtr Config() const;

  /// @return the store's era, if its contents had time to become complete;
  ///         otherwise 0
  uint64_t CompleteEra() const;

  /// @return when the configuration was last known to be current: the time when
  ///         the last successful request was sent, less the age of its data
  TimePoint ConfigAsOf() const;

private:
  /// Objects under a prefix, which are listed once and then watched.
  struct WatchedPrefix
  {
    std::string mPrefix;
    const char* mName;
    uint64_t mRevision = 0; ///< 0 until the objects have been listed
    bool mUnreachable = false;
    /// Whether the last read was the first after the store was unreachable.
    bool mIsCatchingUp = false;
    /// Until when objects may be missing after a return from an older copy.
    TimePoint mRestoredUntil{};
    /// Whether that wait ends early once the era is recorded as complete.
    bool mAwaitsRecord = false;
  };

  Result<Listing> ReadFirst(WatchedPrefix& aWatched);
  /// Has the objects listed anew if the awaited record is there.
  void EndWaitIfRecorded(WatchedPrefix& aWatched) const;
  /// @return how long a watch of the objects may wait
  milliseconds WatchTimeout(const WatchedPrefix& aWatched,
                            milliseconds aTimeout) const;
  Result<Listing> Read(WatchedPrefix& aWatched,
                       milliseconds aTimeout,
                       bool& aIsFull);
  void RecordReadResult(WatchedPrefix& aWatched, const Result<Listing>& aRead);
  /// Applies a read. If that ends with an exception, which is passed on, the
  /// next read lists all objects again.
  static void ApplyOrListAgain(WatchedPrefix& aWatched,
                               const std::function<void()>& aApply);
  void ApplyVms(const Listing& aListing, bool aIsFull, TimePoint aAsOf);
  /// Adds, changes or removes a VM as its entry says.
  void ApplyEntry(FleetVms& aVms, const Object& aObject);
  /// Makes the list the one in use. Call with mLock held.
  void SetVms(FleetVms aVms) const;
  void RecordRevision(WatchedPrefix& aWatched, uint64_t aRevision);
  bool IsSettledLocked() const; ///< mLock is held
  void ApplyConfig(const Object& aObject);

  Platform& mPlatform;
  const FleetSource mSource;
  const Clock& mClock;
  const Duration mLeaveBound;
  WatchedPrefix mWatchedVms;
  WatchedPrefix mWatchedConfig;
  std::map<std::string, std::string> mUnreadable; ///< last error by entry
  mutable std::mutex mLock;                       ///< guards the members below
  mutable FleetVmsPtr mVms;
  mutable TimePoint mNextLapseChange = TimePoint::max(); ///< of mVms
  /// Whether mVms has VMs that are kept until it is settled.
  mutable bool mAwaitsSettling = false;
  TimePoint mVmsAsOf;
  TimePoint mSettledAt; ///< end of the wait for restored entries
  uint64_t mVmsRevision = 0;
  bool mVmsUnreachable = false;
  FleetConfigPtr mConfig; ///< the newest, which may not be confirmed yet
  bool mIsConfigConfirmed = false;
  TimePoint mConfigAsOf;
};

} // namespace hibiscushold
