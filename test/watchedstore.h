#pragma once

#include "fleet/watcher.h"
#include "store/platform.h"

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace hibiscushold {

/// Reads an entry whose value is the state of the VM.
inline Result<FleetVm>
ReadVm(const Object& aObject)
{
  if (aObject.mValue == "bad") {
    return Failure{ Error::ReplyInvalid, "bad", "" };
  }
  if (aObject.mValue == "throws") {
    throw std::runtime_error("scripted");
  }
  FleetVm vm;
  vm.mId = aObject.mKey.substr(4);
  vm.mState = aObject.mValue == "leaving" ? VmState::Leaving : VmState::Live;
  return vm;
}

/// Reads a configuration that has only a version.
inline Result<FleetConfig>
ReadConfig(const Object& aObject)
{
  if (aObject.mValue == "bad") {
    return Failure{ Error::ConfigInvalid, "bad", "" };
  }
  FleetConfig config;
  config.mVersion = std::stoull(aObject.mValue);
  return config;
}

/// An in-memory store. A watch returns all objects; deletions are set by tests.
class FakeStore final : public Platform
{
public:
  Result<Object> Get(std::string_view, CallPriority) override { return Down(); }
  Result<Listing> List(std::string_view aPrefix, CallPriority) override
  {
    ++mLists;
    return mDown ? Result<Listing>(Down()) : Read(aPrefix);
  }
  Result<uint64_t> Create(std::string_view,
                          std::string_view,
                          CallPriority) override
  {
    return Down();
  }
  Result<uint64_t> Update(std::string_view,
                          std::string_view,
                          uint64_t,
                          CallPriority) override
  {
    return Down();
  }
  Result<void> Delete(std::string_view, uint64_t, CallPriority) override
  {
    return Down();
  }
  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t,
                        milliseconds) override
  {
    if (mDown) {
      return Down();
    }
    if (std::exchange(mHistoryGone, false)) {
      return Failure{ Error::StoreHistoryGone, "", "" };
    }
    Listing listing = Read(aPrefix);
    listing.mDeleted = std::exchange(mDeleted, {});
    if (mUnchanged) {
      listing.mObjects.clear();
    }
    return listing;
  }
  Result<VmListing> ListVms(uint64_t) override { return Down(); }

  std::map<std::string, std::string> mValues;
  std::vector<std::string> mDeleted;
  Duration mAge{}; ///< age of the listed objects
  bool mDown = false;
  bool mUnchanged = false; ///< watches end without a change
  bool mHistoryGone = false;
  int mLists = 0;

private:
  static Failure Down() { return { Error::StoreUnavailable, "down", "" }; }

  Listing Read(std::string_view aPrefix) const
  {
    Listing listing;
    listing.mRevision = 1;
    listing.mMaxAge = mAge;
    for (const auto& [key, value] : mValues) {
      if (key.starts_with(aPrefix)) {
        listing.mObjects.push_back({ key, 1, value });
      }
    }
    return listing;
  }
};

} // namespace hibiscushold
