#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hibiscushold {

/// The availability zones that operators have taken out of service. Immutable
/// once published.
struct ZonesOut
{
  std::set<std::string, std::less<>> mOut;
  /// Zones that are back in service, by the time at which this node learned it.
  std::map<std::string, TimePoint, std::less<>> mBackSince;
};

using ZonesOutPtr = std::shared_ptr<const ZonesOut>;

/// @return whether the zone gets no requests and no new groups
bool
IsOut(const ZonesOut& aZones, std::string_view aZone);

/// @return when the zone came back into service, the earliest possible time if
///         it was not out
TimePoint
BackSince(const ZonesOut& aZones, std::string_view aZone);

/// A read of the entries of zones.
struct ZoneRead
{
  const Listing& mListing;
  std::string_view mPrefix; ///< of the keys; the zone's name follows it
  bool mIsFull = false;     ///< the listing has all entries, not only changes
  /// A store that has returned from an older copy may lack entries, so none is
  /// taken for removed.
  bool mMayLackEntries = false;
};

/// @return the zones after the read
ZonesOut
ApplyRead(const ZonesOut& aZones, const ZoneRead& aRead, TimePoint aNow);

/// Follows the operators' entries for zones out of service. Thread-safe.
class ZoneFollower
{
public:
  /// @param aPrefix of the entries' keys
  ZoneFollower(Platform& aPlatform, std::string aPrefix, const Clock& aClock);

  /// Waits for a change of the entries, up to a timeout, and applies it.
  void Poll();

  /// @return the zones, null before the entries were first read
  ZonesOutPtr Zones() const;

  /// @return when the zones were last known to be current
  TimePoint AsOf() const;

private:
  Result<Listing> Read(bool& aIsFull);
  void Apply(const Listing& aListing, bool aIsFull, TimePoint aAsOf);
  void LogChanges(const ZonesOut& aBefore,
                  const ZonesOut& aAfter,
                  uint64_t aRevision,
                  TimePoint aAsOf) const;
  void RecordResult(const Result<Listing>& aRead);

  Platform& mPlatform;
  const std::string mPrefix;
  const Clock& mClock;
  uint64_t mRevision = 0;       ///< 0 if the entries have to be listed
  std::optional<uint64_t> mEra; ///< of the last read
  bool mIsUnreachable = false;
  /// Entries may be missing until then, after the store's return from an older
  /// copy; they are listed again afterwards.
  TimePoint mCompleteFrom;
  mutable std::mutex mLock; ///< guards the members below
  ZonesOutPtr mZones;
  TimePoint mAsOf;
};

} // namespace hibiscushold
