#pragma once

#include "core/clock.h"
#include "core/errors.h"
#include "core/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// An object of the platform's store.
struct Object
{
  std::string mKey;
  uint64_t mVersion = 0;
  std::string mValue;
};

/// The objects under a prefix, or the changes to them, at a revision of the
/// store. A key is among the objects or among the deleted ones, never in both.
struct Listing
{
  uint64_t mRevision = 0;
  std::vector<Object> mObjects;
  std::vector<std::string> mDeleted; ///< keys; filled by Watch only
  /// Upper bound on how far the data may predate the request.
  std::chrono::steady_clock::duration mMaxAge{ 0 };
};

enum class VmState
{
  Live,
  Leaving,
};

/// An entry of the platform's VM list.
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

/// The VM list at a revision.
struct VmListing
{
  uint64_t mRevision = 0;
  bool mUnchanged = false; ///< same as at aSince of ListVms; mVms is empty
  std::vector<Vm> mVms;
};

/// Priority of a call in the call budget of the node, highest first.
enum class CallPriority
{
  Claim,
  Lease,
  Config,
  Status,
};

/// Interface to the platform: its object store and its VM list. Every call
/// counts against the rate limits of the platform. Thread-safe.
///
/// Errors: StoreUnavailable when no valid response arrived (a write may have
/// taken effect), StoreThrottled when a rate limit rejected the call,
/// StoreConflict when the object has another version, StoreMissing when it
/// doesn't exist.
class Platform
{
public:
  virtual ~Platform() = default;

  virtual Result<Object> Get(std::string_view aKey, CallPriority aPriority) = 0;
  virtual Result<Listing> List(std::string_view aPrefix,
                               CallPriority aPriority) = 0;

  /// Creates the object if it doesn't exist.
  /// @return its version, or StoreConflict when it exists
  virtual Result<uint64_t> Create(std::string_view aKey,
                                  std::string_view aValue,
                                  CallPriority aPriority) = 0;

  /// Replaces the value of the object if it has the given version.
  /// @return its new version, or StoreConflict when the version differs
  virtual Result<uint64_t> Update(std::string_view aKey,
                                  std::string_view aValue,
                                  uint64_t aVersion,
                                  CallPriority aPriority) = 0;

  /// Deletes the object if it has the given version.
  /// @return StoreConflict when the version differs
  virtual Result<void> Delete(std::string_view aKey,
                              uint64_t aVersion,
                              CallPriority aPriority) = 0;

  /// Long-polls for changes under aPrefix after revision aSince.
  /// @param aWait maximum wait
  /// @return the changed and deleted objects; none after aWait without a change
  virtual Result<Listing> Watch(std::string_view aPrefix,
                                uint64_t aSince,
                                milliseconds aWait) = 0;

  /// @param aSince revision of the list that the caller has, 0 for none
  /// @return the VMs; the platform's list may be out of date
  virtual Result<VmListing> ListVms(uint64_t aSince) = 0;
};

} // namespace hibiscushold
