#pragma once

#include "core/errors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Weekday and hour in a time zone.
struct LocalTime
{
  uint32_t mDay = 0; ///< 0 is Monday
  uint32_t mHour = 0;

  bool operator==(const LocalTime&) const = default;
};

/// The yearly start or end of daylight saving time: the mWeek-th weekday of a
/// month, as in the POSIX form Mm.w.d/time.
struct ZoneTransition
{
  uint32_t mMonth = 0;
  uint32_t mWeek = 0;     ///< 1 to 5; 5 is the last in the month
  uint32_t mWeekday = 0;  ///< 0 is Sunday
  int32_t mTimeOfDay = 0; ///< seconds after local midnight, may be negative
};

/// Offsets from UTC in seconds and the yearly transitions between them.
struct ZoneRule
{
  int32_t mStandardOffset = 0;
  int32_t mDaylightOffset = 0;
  bool mHasDaylight = false;
  ZoneTransition mDaylightStart;
  ZoneTransition mDaylightEnd;
};

/// Reads the current rule of a time zone from the tz database of the system.
/// @param aZone such as "Europe/Warsaw"
/// @return the rule, or RuleInvalid when the database doesn't contain the zone
Result<ZoneRule>
LoadZone(const std::string& aZone);

/// @param aText rule in the POSIX form, such as "CET-1CEST,M3.5.0,M10.5.0/3"
/// @return the rule, or RuleInvalid
Result<ZoneRule>
ParseZoneRule(const std::string& aText);

/// @param aWallMillis milliseconds since the Unix epoch
/// @return weekday and hour in aZone at that time
LocalTime
LocalTimeAt(const ZoneRule& aZone, int64_t aWallMillis);

} // namespace hibiscushold
