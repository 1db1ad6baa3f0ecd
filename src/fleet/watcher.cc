#include "fleet/watcher.h"

#include "observe/events.h"
#include "store/erarecord.h"
#include "store/revision.h"

#include <algorithm>
#include <thread>

namespace hibiscushold {

namespace {

/// Timeouts of watches. A response proves that the configuration was current
/// when the watch was sent, so a short timeout keeps keys valid for longer when
/// the store becomes unavailable.
constexpr auto kConfigWatchTimeout = milliseconds(600);
constexpr auto kVmWatchTimeout = milliseconds(600);
constexpr auto kRetryInterval = milliseconds(250);
/// How often a watcher that has started looks whether its wait can end.
constexpr auto kRecordCheckInterval = milliseconds(200);

} // namespace

FleetWatcher::FleetWatcher(Platform& aPlatform,
                           FleetSource aSource,
                           const Clock& aClock,
                           milliseconds aLeaveBound)
  : mPlatform(aPlatform)
  , mSource(std::move(aSource))
  , mClock(aClock)
  , mLeaveBound(aLeaveBound)
  , mWatchedVms{ mSource.mVmPrefix, "vms" }
  , mWatchedConfig{ mSource.mConfigPrefix, "config" }
  , mVms(std::make_shared<FleetVms>())
{
}

Result<Listing>
FleetWatcher::ReadFirst(WatchedPrefix& aWatched)
{
  Result<Listing> read = mPlatform.List(aWatched.mPrefix, CallPriority::Config);
  if (!read || EraOf(read.value().mRevision) == 0) {
    return read;
  }
  const uint64_t era = EraOf(read.value().mRevision);
  bool isComplete = IsEraComplete(mPlatform, era);
  if (isComplete) {
    // The objects were listed before the record was read, so they may still
    // lack what was written again just before the era was recorded.
    read = mPlatform.List(aWatched.mPrefix, CallPriority::Config);
    isComplete = !read || EraOf(read.value().mRevision) == era;
  }
  if (!isComplete) {
    LogEvent(EventId::StoreEraIncomplete,
             { { "objects", aWatched.mName }, { "era", std::to_string(era) } });
    aWatched.mRestoredUntil = mClock.Now() + kStoreRecoveryTime;
  }
  aWatched.mAwaitsRecord = !isComplete;
  return read;
}

void
FleetWatcher::EndWaitIfRecorded(WatchedPrefix& aWatched) const
{
  if (!aWatched.mAwaitsRecord) {
    return;
  }
  if (mClock.Now() >= aWatched.mRestoredUntil) {
    aWatched.mAwaitsRecord = false;
  } else if (IsEraComplete(mPlatform, EraOf(aWatched.mRevision))) {
    // What was read before the record was written may lack a change.
    aWatched.mRevision = 0;
    aWatched.mRestoredUntil = {};
    aWatched.mAwaitsRecord = false;
  }
}

milliseconds
FleetWatcher::WatchTimeout(const WatchedPrefix& aWatched,
                           milliseconds aTimeout) const
{
  const Duration left = TimeLeft(aWatched.mRestoredUntil, mClock.Now());
  if (left == Duration::zero()) {
    return aTimeout;
  }
  // Only a read that begins after the wait confirms anything.
  return std::clamp(std::chrono::ceil<milliseconds>(left),
                    milliseconds(1),
                    aWatched.mAwaitsRecord ? kRecordCheckInterval : aTimeout);
}

Result<Listing>
FleetWatcher::Read(WatchedPrefix& aWatched,
                   milliseconds aTimeout,
                   bool& aIsFull)
{
  const bool isFirst = aWatched.mRevision == 0;
  aIsFull = isFirst;
  Result<Listing> read =
    isFirst ? ReadFirst(aWatched)
            : mPlatform.Watch(aWatched.mPrefix, aWatched.mRevision, aTimeout);
  if (!read && read.error().mError == Error::StoreHistoryGone) {
    LogEvent(EventId::StoreHistoryGone,
             { { "objects", aWatched.mName },
               { "revision", std::to_string(aWatched.mRevision) } });
    aIsFull = true;
    read = isFirst ? ReadFirst(aWatched)
                   : mPlatform.List(aWatched.mPrefix, CallPriority::Config);
  }
  if (read) {
    RecordRevision(aWatched, read.value().mRevision);
  }
  RecordReadResult(aWatched, read);
  return read;
}

void
FleetWatcher::RecordRevision(WatchedPrefix& aWatched, uint64_t aRevision)
{
  const bool isRestored =
    aWatched.mRevision != 0 && EraOf(aRevision) != EraOf(aWatched.mRevision);
  aWatched.mRevision = aRevision;
  if (isRestored) {
    aWatched.mRestoredUntil = mClock.Now() + kStoreRecoveryTime;
  }
  if (&aWatched == &mWatchedVms) {
    const std::lock_guard guard(mLock);
    mVmsRevision = aRevision;
    mSettledAt = std::max(mSettledAt, aWatched.mRestoredUntil);
  }
}

void
FleetWatcher::RecordReadResult(WatchedPrefix& aWatched,
                               const Result<Listing>& aRead)
{
  const bool failed = !aRead.has_value();
  aWatched.mIsCatchingUp = aWatched.mUnreachable && !failed;
  if (failed != aWatched.mUnreachable) {
    aWatched.mUnreachable = failed;
    LogEvent(failed ? EventId::StoreLost : EventId::StoreBack,
             { { "objects", aWatched.mName },
               { "reason", failed ? Describe(aRead.error()) : "" } });
    if (&aWatched == &mWatchedVms) {
      const std::lock_guard guard(mLock);
      mVmsUnreachable = failed;
      mSettledAt = failed ? mSettledAt : mClock.Now() + kStoreRecoveryTime;
    }
  }
  if (failed) {
    std::this_thread::sleep_for(kRetryInterval);
  }
}

void
FleetWatcher::PollVms(Duration aPause)
{
  const TimePoint sentAt = mClock.Now();
  bool isFull = false;
  const Result<Listing> read = Read(mWatchedVms, kVmWatchTimeout, isFull);
  if (!read) {
    return;
  }
  ApplyOrListAgain(mWatchedVms, [&] {
    ApplyVms(read.value(), isFull, sentAt - read.value().mMaxAge);
  });
  std::this_thread::sleep_for(aPause);
}

void
FleetWatcher::ApplyOrListAgain(WatchedPrefix& aWatched,
                               const std::function<void()>& aApply)
{
  try {
    aApply();
  } catch (...) {
    // The next watch would not repeat these changes.
    aWatched.mRevision = 0;
    throw;
  }
}

void
FleetWatcher::ApplyVms(const Listing& aListing, bool aIsFull, TimePoint aAsOf)
{
  FleetVms vms;
  LapseEvidence evidence{ mClock.Now(), {}, mLeaveBound };
  {
    const std::lock_guard guard(mLock);
    evidence.mListedAt = mVmsAsOf;
    evidence.mIsSettled = aAsOf >= mSettledAt;
    // Most watches end without a change. A new list of a thousand VMs, and what
    // is derived from it, would take most of a small node's processor.
    const bool isChanged = aIsFull || !aListing.mObjects.empty() ||
                           !aListing.mDeleted.empty() || mAwaitsSettling;
    if (!isChanged) {
      mVmsAsOf = std::max(mVmsAsOf, aAsOf);
      return;
    }
    vms = *mVms;
  }
  evidence.mWasStoreDown = aIsFull || mWatchedVms.mIsCatchingUp;
  LapseOrRemove(
    vms, FindRemoved(vms, aListing, mSource.mVmPrefix, aIsFull), evidence);
  for (const Object& it : aListing.mObjects) {
    ApplyEntry(vms, it);
  }
  if (evidence.mIsSettled) {
    DropUnsettled(vms);
  }
  const std::lock_guard guard(mLock);
  SetVms(std::move(vms));
  mVmsAsOf = std::max(mVmsAsOf, aAsOf);
}

void
FleetWatcher::ApplyEntry(FleetVms& aVms, const Object& aObject)
{
  const std::string id = aObject.mKey.substr(mSource.mVmPrefix.size());
  Result<FleetVm> vm = mSource.mReadVm(aObject);
  if (vm) {
    aVms[id] = std::move(vm.value());
    return;
  }
  const std::string reason = Describe(vm.error());
  if (std::exchange(mUnreadable[id], reason) != reason) {
    LogEvent(EventId::VmUnreadable, { { "vm", id }, { "reason", reason } });
  }
  aVms.erase(id);
}

void
FleetWatcher::SetVms(FleetVms aVms) const
{
  ApplyLapses(aVms, mClock.Now());
  mNextLapseChange = NextLapseChange(aVms);
  mAwaitsSettling = AwaitSettling(aVms);
  mVms = std::make_shared<const FleetVms>(std::move(aVms));
}

void
FleetWatcher::PollConfig(Duration aPause)
{
  EndWaitIfRecorded(mWatchedConfig);
  const TimePoint sentAt = mClock.Now();
  bool isFull = false;
  const Result<Listing> read = Read(
    mWatchedConfig, WatchTimeout(mWatchedConfig, kConfigWatchTimeout), isFull);
  if (!read) {
    return;
  }
  ApplyOrListAgain(mWatchedConfig, [&] {
    for (const Object& it : read.value().mObjects) {
      if (it.mKey == mSource.mConfigKey) {
        ApplyConfig(it);
      }
    }
  });
  const TimePoint asOf = sentAt - read.value().mMaxAge;
  if (asOf >= mWatchedConfig.mRestoredUntil) {
    const std::lock_guard guard(mLock);
    mIsConfigConfirmed = true;
    mConfigAsOf = std::max(mConfigAsOf, asOf);
  }
  std::this_thread::sleep_for(aPause);
}

void
FleetWatcher::ApplyConfig(const Object& aObject)
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
  if (mClock.Now() >= mNextLapseChange) {
    SetVms(*mVms);
  }
  return mVms;
}

Result<FleetVms>
FleetWatcher::ReadVms() const
{
  BOOST_OUTCOME_TRY(listing,
                    mPlatform.List(mSource.mVmPrefix, CallPriority::Lease));
  {
    const std::lock_guard guard(mLock);
    if (mVmsRevision != 0 && EraOf(listing.mRevision) != EraOf(mVmsRevision)) {
      return Failure{ Error::StoreHistoryGone,
                      mSource.mVmPrefix + ": the store's era has changed",
                      "" };
    }
  }
  FleetVms vms;
  FleetVms known = mLeaveBound > Duration::zero() ? *Vms() : FleetVms();
  for (const Object& it : listing.mObjects) {
    known.erase(it.mKey.substr(mSource.mVmPrefix.size()));
    Result<FleetVm> vm = mSource.mReadVm(it);
    if (vm) {
      std::string id = vm.value().mId;
      vms.emplace(std::move(id), std::move(vm.value()));
    }
  }
  AddLapsed(vms, known, { mClock.Now(), VmsAsOf(), mLeaveBound });
  return vms;
}

bool
FleetWatcher::IsSettled() const
{
  const std::lock_guard guard(mLock);
  return IsSettledLocked();
}

bool
FleetWatcher::IsSettledLocked() const
{
  return !mVmsUnreachable && mClock.Now() >= mSettledAt;
}

TimePoint
FleetWatcher::VmsAsOf() const
{
  const std::lock_guard guard(mLock);
  return mVmsAsOf;
}

FleetConfigPtr
FleetWatcher::Config() const
{
  const std::lock_guard guard(mLock);
  return mIsConfigConfirmed ? mConfig : nullptr;
}

uint64_t
FleetWatcher::CompleteEra() const
{
  const std::lock_guard guard(mLock);
  return IsSettledLocked() ? EraOf(mVmsRevision) : 0;
}

TimePoint
FleetWatcher::ConfigAsOf() const
{
  const std::lock_guard guard(mLock);
  return mConfigAsOf;
}

} // namespace hibiscushold
