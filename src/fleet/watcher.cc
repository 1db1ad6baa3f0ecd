#include "fleet/watcher.h"

#include "observe/events.h"

#include <algorithm>
#include <thread>

namespace hibiscushold {

namespace {

/// A waiting question is answered at the latest after this. Its answer proves
/// the configuration as of when it was sent, so short waits keep keys valid for
/// longer when the store goes away.
constexpr auto kConfigWait = milliseconds(600);
constexpr auto kVmWait = milliseconds(600);
constexpr auto kRetryGap = milliseconds(250);
/// The platform puts entries back within two seconds of the store's return.
constexpr auto kReturnGrace = milliseconds(2300);

bool
IsSeen(const Listing& aListing, std::string_view aKey)
{
  for (const Object& it : aListing.mObjects) {
    if (it.mKey == aKey) {
      return true;
    }
  }
  return false;
}

} // namespace

FleetWatcher::FleetWatcher(Platform& aPlatform,
                           FleetSource aSource,
                           const Clock& aClock)
  : mPlatform(aPlatform)
  , mSource(std::move(aSource))
  , mClock(aClock)
  , mVmFeed{ mSource.mVmPrefix, "vms" }
  , mConfigFeed{ mSource.mConfigPrefix, "config" }
  , mVms(std::make_shared<FleetVms>())
{
}

Result<Listing>
FleetWatcher::Read(Feed& aFeed, milliseconds aWait, bool& aWhole)
{
  aWhole = aFeed.mRevision == 0;
  Result<Listing> read =
    aWhole ? mPlatform.List(aFeed.mPrefix, CallClass::Config)
           : mPlatform.Watch(aFeed.mPrefix, aFeed.mRevision, aWait);
  if (!read && read.error().mError == Error::StoreHistoryGone) {
    LogEvent(EventId::StoreHistoryGone,
             { { "objects", aFeed.mWhat },
               { "revision", std::to_string(aFeed.mRevision) } });
    aWhole = true;
    read = mPlatform.List(aFeed.mPrefix, CallClass::Config);
  }
  if (read) {
    aFeed.mRevision = read.value().mRevision;
  }
  NoteContact(aFeed, read);
  return read;
}

void
FleetWatcher::NoteContact(Feed& aFeed, const Result<Listing>& aRead)
{
  const bool lost = !aRead.has_value();
  if (lost != aFeed.mLost) {
    aFeed.mLost = lost;
    LogEvent(lost ? EventId::StoreLost : EventId::StoreBack,
             { { "objects", aFeed.mWhat },
               { "reason", lost ? Describe(aRead.error()) : "" } });
    if (&aFeed == &mVmFeed) {
      const std::lock_guard guard(mLock);
      mVmsLost = lost;
      mSettledAt = lost ? mSettledAt : mClock.Now() + kReturnGrace;
    }
  }
  if (lost) {
    std::this_thread::sleep_for(kRetryGap);
  }
}

void
FleetWatcher::StepVms(Duration aGap)
{
  const TimePoint askedAt = mClock.Now();
  bool whole = false;
  const Result<Listing> read = Read(mVmFeed, kVmWait, whole);
  if (read) {
    TakeVms(read.value(), whole, askedAt - read.value().mAge);
    std::this_thread::sleep_for(aGap);
  }
}

void
FleetWatcher::TakeVms(const Listing& aListing, bool aWhole, TimePoint aProvenAt)
{
  FleetVms vms = *Vms();
  std::vector<std::string> gone;
  for (const std::string& it : aListing.mDeleted) {
    gone.push_back(it.substr(mSource.mVmPrefix.size()));
  }
  if (aWhole) {
    for (const auto& [id, vm] : vms) {
      if (!IsSeen(aListing, mSource.mVmPrefix + id)) {
        gone.push_back(id);
      }
    }
  }
  const TimePoint graceEnd = SettledAt();
  for (const std::string& it : gone) {
    const auto found = vms.find(it);
    const bool mayReturn = found != vms.end() &&
                           found->second.mState == VmState::Live &&
                           mClock.Now() < graceEnd;
    if (mayReturn) {
      mLapsed.emplace(it, graceEnd);
    } else if (found != vms.end()) {
      vms.erase(found);
      LogEvent(EventId::VmGone, { { "vm", it } });
    }
  }
  for (const Object& it : aListing.mObjects) {
    const std::string id = it.mKey.substr(mSource.mVmPrefix.size());
    Result<FleetVm> vm = mSource.mReadVm(it);
    if (!vm) {
      const std::string fault = Describe(vm.error());
      if (std::exchange(mUnreadable[id], fault) != fault) {
        LogEvent(EventId::VmUnreadable, { { "vm", id }, { "reason", fault } });
      }
      vms.erase(id);
      continue;
    }
    mLapsed.erase(id);
    vms[id] = std::move(vm.value());
  }
  DropLapsed(vms);
  auto next = std::make_shared<const FleetVms>(std::move(vms));
  {
    const std::lock_guard guard(mLock);
    mVms = next;
    mVmsReadAt = std::max(mVmsReadAt, aProvenAt);
  }
  if (mListener) {
    mListener(next);
  }
}

void
FleetWatcher::DropLapsed(FleetVms& aVms)
{
  const TimePoint now = mClock.Now();
  std::erase_if(mLapsed, [&](const auto& it) {
    if (now < it.second) {
      return false;
    }
    aVms.erase(it.first);
    LogEvent(EventId::VmGone, { { "vm", it.first } });
    return true;
  });
}

void
FleetWatcher::StepConfig(Duration aGap)
{
  const TimePoint askedAt = mClock.Now();
  bool whole = false;
  const Result<Listing> read = Read(mConfigFeed, kConfigWait, whole);
  if (!read) {
    return;
  }
  for (const Object& it : read.value().mObjects) {
    if (it.mKey == mSource.mConfigKey) {
      TakeConfig(it);
    }
  }
  {
    const std::lock_guard guard(mLock);
    mProof = std::max(mProof, askedAt - read.value().mAge);
  }
  std::this_thread::sleep_for(aGap);
}

void
FleetWatcher::TakeConfig(const Object& aObject)
{
  Result<FleetConfig> config = mSource.mReadConfig(aObject);
  if (!config) {
    LogEvent(EventId::ConfigUnreadable,
             { { "reason", Describe(config.error()) } });
    return;
  }
  const std::lock_guard guard(mLock);
  const uint64_t version = config.value().mVersion;
  if (mConfig != nullptr && version <= mConfig->mVersion) {
    if (version < mConfig->mVersion) {
      LogEvent(EventId::ConfigLowerIgnored,
               { { "version", std::to_string(version) },
                 { "in_force", std::to_string(mConfig->mVersion) } });
    }
    return;
  }
  mConfig = std::make_shared<const FleetConfig>(std::move(config.value()));
  LogEvent(EventId::ConfigInForce,
           { { "version", std::to_string(version) },
             { "revision", std::to_string(aObject.mVersion) } });
}

FleetVmsPtr
FleetWatcher::Vms() const
{
  const std::lock_guard guard(mLock);
  return mVms;
}

Result<FleetVms>
FleetWatcher::ReadVms() const
{
  BOOST_OUTCOME_TRY(listing,
                    mPlatform.List(mSource.mVmPrefix, CallClass::Lease));
  FleetVms vms;
  for (const Object& it : listing.mObjects) {
    Result<FleetVm> vm = mSource.mReadVm(it);
    if (vm) {
      std::string id = vm.value().mId;
      vms.emplace(std::move(id), std::move(vm.value()));
    }
  }
  return vms;
}

bool
FleetWatcher::IsSettled() const
{
  const std::lock_guard guard(mLock);
  return !mVmsLost && mClock.Now() >= mSettledAt;
}

TimePoint
FleetWatcher::SettledAt() const
{
  const std::lock_guard guard(mLock);
  return mSettledAt;
}

TimePoint
FleetWatcher::VmsReadAt() const
{
  const std::lock_guard guard(mLock);
  return mVmsReadAt;
}

FleetConfigPtr
FleetWatcher::Config() const
{
  const std::lock_guard guard(mLock);
  return mConfig;
}

TimePoint
FleetWatcher::ConfigProof() const
{
  const std::lock_guard guard(mLock);
  return mProof;
}

void
FleetWatcher::OnVms(std::function<void(const FleetVmsPtr&)> aListener)
{
  mListener = std::move(aListener);
}

} // namespace hibiscushold
