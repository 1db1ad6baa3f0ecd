#pragma once

#include "store/platform.h"
#include "store/revision.h"

#include <functional>
#include <map>
#include <mutex>

namespace hibiscushold {

/// A fault that the next read or write simulates.
enum class StoreFault
{
  None,
  Unavailable,  ///< the call has no effect and no response arrives
  ResponseLost, ///< the call takes effect, but no response arrives
  HistoryGone,  ///< a list ends as the store returns meanwhile
};

/// An in-memory object store that simulates faults of the platform's store.
class FakePlatform final : public Platform
{
public:
  Result<Object> Get(std::string_view aKey, CallPriority) override
  {
    if (mBeforeGet) {
      mBeforeGet();
    }
    Result<Object> object = Find(aKey);
    if (mAfterGet) {
      mAfterGet();
    }
    return object;
  }

  Result<Listing> List(std::string_view aPrefix, CallPriority) override
  {
    ++mLists;
    const StoreFault fault = TakeFault(mNextReadFault);
    if (fault == StoreFault::HistoryGone) {
      return Failure{ Error::StoreHistoryGone, std::string(aPrefix), "" };
    }
    if (fault != StoreFault::None) {
      return NoResponse();
    }
    return Changes(aPrefix, 0);
  }

  Result<uint64_t> Create(std::string_view aKey,
                          std::string_view aValue,
                          CallPriority) override
  {
    return Write(aKey, aValue, 0);
  }

  Result<uint64_t> Update(std::string_view aKey,
                          std::string_view aValue,
                          uint64_t aVersion,
                          CallPriority) override
  {
    return Write(aKey, aValue, aVersion);
  }

  Result<void> Delete(std::string_view aKey,
                      uint64_t aVersion,
                      CallPriority) override
  {
    const StoreFault fault = TakeFault(mNextWriteFault);
    if (fault == StoreFault::Unavailable) {
      return NoResponse();
    }
    if (VersionOf(aKey) != aVersion) {
      return Failure{ Error::StoreConflict, std::string(aKey), "" };
    }
    Remove(aKey);
    if (fault == StoreFault::ResponseLost) {
      return NoResponse();
    }
    return boost::outcome_v2::success();
  }

  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t aSince,
                        milliseconds aTimeout) override
  {
    mLastWatchTimeout = aTimeout;
    const bool isUnknown = EraOf(mRevision) > 0 && aSince > mRevision;
    if (EraOf(aSince) != EraOf(mRevision) || isUnknown ||
        aSince < mHistoryFrom) {
      return Failure{ Error::StoreHistoryGone, std::string(aPrefix), "" };
    }
    if (TakeFault(mNextReadFault) != StoreFault::None) {
      return NoResponse();
    }
    return Changes(aPrefix, aSince);
  }

  Result<VmListing> ListVms(uint64_t) override
  {
    return VmListing{ 1, false, mVms };
  }

  uint64_t VersionOf(std::string_view aKey) const
  {
    const auto it = mObjects.find(std::string(aKey));
    return it == mObjects.end() ? 0 : it->second.mVersion;
  }

  /// The state of the store at some time.
  struct Copy
  {
    std::map<std::string, Object> mObjects;
    std::map<std::string, uint64_t> mDeletions;
    uint64_t mRevision = 0;
  };

  Copy Save() const { return { mObjects, mDeletions, mRevision }; }

  /// Returns from an older copy: the era rises, and revisions are used again.
  void Restore(const Copy& aCopy)
  {
    const uint64_t era = EraOf(mRevision) + 1;
    const auto restored = [era](uint64_t aRevision) {
      return MakeRevision(era, StoreRevisionOf(aRevision));
    };
    mRevision = restored(aCopy.mRevision);
    mHistoryFrom = 0;
    mObjects = aCopy.mObjects;
    for (auto& [key, object] : mObjects) {
      object.mVersion = restored(object.mVersion);
    }
    mDeletions = aCopy.mDeletions;
    for (auto& [key, revision] : mDeletions) {
      revision = restored(revision);
    }
  }

  /// Creates or replaces an object.
  void Put(std::string_view aKey, std::string_view aValue)
  {
    const std::string key(aKey);
    mObjects[key] = { key, ++mRevision, std::string(aValue) };
    mDeletions.erase(key);
  }

  /// Deletes an object if it exists.
  void Remove(std::string_view aKey)
  {
    if (mObjects.erase(std::string(aKey)) > 0) {
      mDeletions[std::string(aKey)] = ++mRevision;
    }
  }

  /// Watches from earlier revisions fail from now on.
  void ForgetHistory() { mHistoryFrom = mRevision; }

  size_t mLists = 0; ///< calls of List
  StoreFault mNextReadFault = StoreFault::None;
  milliseconds mLastWatchTimeout{ 0 };
  std::function<void()> mBeforeGet; ///< called before each read of an object
  std::function<void()> mAfterGet;  ///< called after each read of an object
  StoreFault mNextWriteFault = StoreFault::None;
  std::map<std::string, Object> mObjects;
  std::vector<Vm> mVms;

private:
  static StoreFault TakeFault(StoreFault& aFault)
  {
    const StoreFault fault = aFault;
    aFault = StoreFault::None;
    return fault;
  }

  static Failure NoResponse()
  {
    return { Error::StoreUnavailable, "fake", "" };
  }

  Result<uint64_t> Write(std::string_view aKey,
                         std::string_view aValue,
                         uint64_t aVersion)
  {
    const StoreFault fault = TakeFault(mNextWriteFault);
    if (fault == StoreFault::Unavailable) {
      return NoResponse();
    }
    if (VersionOf(aKey) != aVersion) {
      return Failure{ Error::StoreConflict, std::string(aKey), "" };
    }
    Put(aKey, aValue);
    if (fault == StoreFault::ResponseLost) {
      return NoResponse();
    }
    return mRevision;
  }

  Result<Object> Find(std::string_view aKey)
  {
    if (TakeFault(mNextReadFault) != StoreFault::None) {
      return NoResponse();
    }
    const auto it = mObjects.find(std::string(aKey));
    if (it == mObjects.end()) {
      return Failure{ Error::StoreMissing, std::string(aKey), "" };
    }
    return it->second;
  }

  Listing Changes(std::string_view aPrefix, uint64_t aSince) const
  {
    Listing listing;
    listing.mRevision = mRevision;
    for (const auto& [key, object] : mObjects) {
      if (key.starts_with(aPrefix) &&
          (aSince == 0 || object.mVersion > aSince)) {
        listing.mObjects.push_back(object);
      }
    }
    for (const auto& [key, revision] : mDeletions) {
      if (key.starts_with(aPrefix) && aSince > 0 && revision > aSince) {
        listing.mDeleted.push_back(key);
      }
    }
    return listing;
  }

  uint64_t mRevision = 0;
  uint64_t mHistoryFrom = 0;
  std::map<std::string, uint64_t> mDeletions; ///< their revisions by key
};

} // namespace hibiscushold
