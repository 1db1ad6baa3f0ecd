#include "fleet/zonesout.h"

#include "fleet/watcher.h"
#include "observe/events.h"
#include "store/revision.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace hibiscushold {

namespace {

/// A watch returns as soon as there is a change, so this only bounds the age of
/// the proof that there was none.
constexpr auto kWatchTimeout = milliseconds(1500);
constexpr auto kRetryInterval = milliseconds(250);

std::string_view
ZoneOf(std::string_view aKey, std::string_view aPrefix)
{
  return aKey.substr(std::min(aPrefix.size(), aKey.size()));
}

} // namespace

bool
IsOut(const ZonesOut& aZones, std::string_view aZone)
{
  return aZones.mOut.contains(aZone);
}

TimePoint
BackSince(const ZonesOut& aZones, std::string_view aZone)
{
  const auto it = aZones.mBackSince.find(aZone);
  return it == aZones.mBackSince.end() ? TimePoint::min() : it->second;
}

ZonesOut
ApplyRead(const ZonesOut& aZones, const ZoneRead& aRead, TimePoint aNow)
{
  ZonesOut zones = aZones;
  if (!aRead.mMayLackEntries) {
    std::set<std::string, std::less<>> kept;
    if (!aRead.mIsFull) {
      kept = zones.mOut;
      for (const std::string& it : aRead.mListing.mDeleted) {
        kept.erase(std::string(ZoneOf(it, aRead.mPrefix)));
      }
    }
    zones.mOut = std::move(kept);
  }
  for (const Object& it : aRead.mListing.mObjects) {
    const std::string_view zone = ZoneOf(it.mKey, aRead.mPrefix);
    if (!zone.empty()) {
      zones.mOut.emplace(zone);
    }
  }
  for (const std::string& it : aZones.mOut) {
    if (!zones.mOut.contains(it)) {
      zones.mBackSince[it] = aNow;
    }
  }
  return zones;
}

ZoneFollower::ZoneFollower(Platform& aPlatform,
                           std::string aPrefix,
                           const Clock& aClock)
  : mPlatform(aPlatform)
  , mPrefix(std::move(aPrefix))
  , mClock(aClock)
{
}

void
ZoneFollower::Poll()
{
  const TimePoint sentAt = mClock.Now();
  bool isFull = false;
  const Result<Listing> read = Read(isFull);
  RecordResult(read);
  if (!read) {
    std::this_thread::sleep_for(kRetryInterval);
    return;
  }
  try {
    Apply(read.value(), isFull, sentAt - read.value().mMaxAge);
  } catch (...) {
    // The next watch would not repeat these changes.
    mRevision = 0;
    throw;
  }
}

Result<Listing>
ZoneFollower::Read(bool& aIsFull)
{
  if (mCompleteFrom != TimePoint{} && mClock.Now() >= mCompleteFrom) {
    mCompleteFrom = {};
    mRevision = 0;
  }
  if (mRevision != 0) {
    Result<Listing> changes =
      mPlatform.Watch(mPrefix, mRevision, kWatchTimeout);
    if (changes || changes.error().mError != Error::StoreHistoryGone) {
      return changes;
    }
    LogEvent(
      EventId::StoreHistoryGone,
      { { "objects", "zones" }, { "revision", std::to_string(mRevision) } });
  }
  aIsFull = true;
  return mPlatform.List(mPrefix, CallPriority::Config);
}

void
ZoneFollower::RecordResult(const Result<Listing>& aRead)
{
  const bool failed = !aRead.has_value();
  if (std::exchange(mIsUnreachable, failed) != failed) {
    LogEvent(failed ? EventId::StoreLost : EventId::StoreBack,
             { { "objects", "zones" },
               { "reason", failed ? Describe(aRead.error()) : "" } });
  }
}

void
ZoneFollower::Apply(const Listing& aListing, bool aIsFull, TimePoint aAsOf)
{
  const uint64_t era = EraOf(aListing.mRevision);
  if (mEra && *mEra != era) {
    mCompleteFrom = mClock.Now() + kStoreRecoveryTime;
  }
  const ZonesOutPtr before = Zones();
  const ZonesOut known = before == nullptr ? ZonesOut{} : *before;
  ZonesOut after =
    ApplyRead(known,
              { aListing, mPrefix, aIsFull, mCompleteFrom != TimePoint{} },
              mClock.Now());
  const bool isChanged = before == nullptr || after.mOut != known.mOut;
  if (isChanged) {
    LogChanges(known, after, aListing.mRevision, aAsOf);
  }
  {
    const std::lock_guard guard(mLock);
    if (isChanged) {
      mZones = std::make_shared<const ZonesOut>(std::move(after));
    }
    mAsOf = std::max(mAsOf, aAsOf);
  }
  mRevision = aListing.mRevision;
  mEra = era;
}

void
ZoneFollower::LogChanges(const ZonesOut& aBefore,
                         const ZonesOut& aAfter,
                         uint64_t aRevision,
                         TimePoint aAsOf) const
{
  const std::string age = std::to_string(ToMillis(mClock.Now() - aAsOf));
  const auto log = [&](EventId aEvent, const std::string& aZone) {
    LogEvent(aEvent,
             { { "zone", aZone },
               { "revision", std::to_string(aRevision) },
               { "age_ms", age } });
  };
  for (const std::string& it : aAfter.mOut) {
    if (!aBefore.mOut.contains(it)) {
      log(EventId::ZoneOut, it);
    }
  }
  for (const std::string& it : aBefore.mOut) {
    if (!aAfter.mOut.contains(it)) {
      log(EventId::ZoneBack, it);
    }
  }
}

ZonesOutPtr
ZoneFollower::Zones() const
{
  const std::lock_guard guard(mLock);
  return mZones;
}

TimePoint
ZoneFollower::AsOf() const
{
  const std::lock_guard guard(mLock);
  return mAsOf;
}

} // namespace hibiscushold
