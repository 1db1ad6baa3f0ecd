#pragma once

#include "fleet/config.h"
#include "fleet/vm.h"

#include <functional>
#include <mutex>
#include <string>

namespace hibiscushold {

/// Where the platform keeps what the watcher follows, and how it is read.
struct FleetSource
{
  std::string mVmPrefix;
  std::string mConfigPrefix;
  std::string mConfigKey;
  std::function<Result<FleetVm>(const Object&)> mReadVm;
  std::function<Result<FleetConfig>(const Object&)> mReadConfig;
};

/// Follows the platform's VMs and the operator's configuration. A version
/// older than the one in force is never taken. Safe for several threads.
class FleetWatcher
{
public:
  FleetWatcher(Platform& aPlatform, FleetSource aSource, const Clock& aClock);

  /// Waits for a change of the VMs and takes it in.
  /// @param aGap pause after it; changes that come together cost one call
  void StepVms(Duration aGap);

  /// Waits for a change of the configuration and takes it in.
  /// @param aGap pause after it
  void StepConfig(Duration aGap);

  FleetVmsPtr Vms() const;

  /// Lists the VMs anew, apart from what is followed.
  Result<FleetVms> ReadVms() const;

  /// @return whether the list of VMs can be had, and all that lapsed while the
  ///         store was away should be listed again
  bool IsSettled() const;

  /// @return the time as of which it is known how the VMs stand
  TimePoint VmsReadAt() const;

  /// @return the configuration in force, null while none is known
  FleetConfigPtr Config() const;

  /// @return when the last question was sent that the store answered with the
  ///         newest configuration
  TimePoint ConfigProof() const;

  /// @param aListener called after each change of the VMs
  void OnVms(std::function<void(const FleetVmsPtr&)> aListener);

private:
  /// One kind of objects that is listed once and watched from there.
  struct Feed
  {
    std::string mPrefix;
    const char* mWhat;
    uint64_t mRevision = 0; ///< 0: has to be listed
    bool mLost = false;
  };

  Result<Listing> Read(Feed& aFeed, milliseconds aWait, bool& aWhole);
  void NoteContact(Feed& aFeed, const Result<Listing>& aRead);
  void TakeVms(const Listing& aListing, bool aWhole, TimePoint aProvenAt);
  void DropLapsed(FleetVms& aVms);
  TimePoint SettledAt() const;
  void TakeConfig(const Object& aObject);

  Platform& mPlatform;
  const FleetSource mSource;
  const Clock& mClock;
  Feed mVmFeed;
  Feed mConfigFeed;
  /// Entries that are gone from the list but may come back, as they lapsed
  /// while the store was away; with the time to drop them.
  std::map<std::string, TimePoint> mLapsed;
  std::map<std::string, std::string> mUnreadable; ///< entry to its last fault
  std::function<void(const FleetVmsPtr&)> mListener;
  mutable std::mutex mLock; ///< guards what follows
  FleetVmsPtr mVms;
  TimePoint mVmsReadAt;
  TimePoint mSettledAt;
  bool mVmsLost = false;
  FleetConfigPtr mConfig;
  TimePoint mProof;
};

} // namespace hibiscushold
