#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// One object of the platform's store.
struct Object
{
  std::string mKey;
  uint64_t mVersion = 0;
  std::string mValue;
};

/// Objects under a prefix as of a revision of the store.
struct Listing
{
  uint64_t mRevision = 0;
  std::vector<Object> mObjects;
  std::vector<std::string> mDeleted; ///< filled by Watch only
  /// What was answered may be older than the question by this.
  std::chrono::steady_clock::duration mAge{ 0 };
};

enum class VmState
{
  Live,
  Leaving,
};

/// A VM as the platform lists it.
struct Vm
{
  std::string mId;
  std::string mIncarnation;
  Endpoint mAddress;
  std::string mZone;
  std::string mDomain; ///< fabric domain
  std::string mPool;
  VmState mState = VmState::Live;
};

/// The VM list as of a revision.
struct VmListing
{
  uint64_t mRevision = 0;
  bool mUnchanged = false; ///< the list is as it was; mVms is empty
  std::vector<Vm> mVms;
};

/// Order in which calls draw on the node's call budget.
enum class CallClass
{
  Claim,
  Lease,
  Config,
  Status,
};

/// What the system asks of the platform. Every call counts against the
/// platform's limits. Safe for several threads.
///
/// Errors: StoreUnavailable when there was no answer (a write may have taken
/// effect), StoreThrottled when nothing was sent, StoreConflict and
/// StoreMissing when the store refused.
class Platform
{
public:
  virtual ~Platform() = default;

  virtual Result<Object> Get(std::string_view aKey, CallClass aClass) = 0;
  virtual Result<Listing> List(std::string_view aPrefix, CallClass aClass) = 0;

  /// Creates the object if it does not exist.
  /// @return its version
  virtual Result<uint64_t> Create(std::string_view aKey,
                                  std::string_view aValue,
                                  CallClass aClass) = 0;

  /// Replaces the object if it has the given version.
  /// @return its new version
  virtual Result<uint64_t> Update(std::string_view aKey,
                                  std::string_view aValue,
                                  uint64_t aVersion,
                                  CallClass aClass) = 0;

  /// Deletes the object if it has the given version.
  virtual Result<void> Delete(std::string_view aKey,
                              uint64_t aVersion,
                              CallClass aClass) = 0;

  /// Waits for a change under aPrefix after revision aSince.
  /// @param aWait longest wait; an empty listing is returned after it
  virtual Result<Listing> Watch(std::string_view aPrefix,
                                uint64_t aSince,
                                milliseconds aWait) = 0;

  /// @param aSince revision that the caller holds, 0 for none
  /// @return the VMs, which may lag behind the truth
  virtual Result<VmListing> ListVms(uint64_t aSince) = 0;
};

} // namespace hibiscushold
