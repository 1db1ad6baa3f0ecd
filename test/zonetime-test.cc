#include "core/zonetime.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

struct ZoneCase
{
  const char* mRule;
  int64_t mSeconds; ///< since the Unix epoch
  LocalTime mLocal;
};

constexpr const char* kWarsaw = "CET-1CEST,M3.5.0,M10.5.0/3";

const ZoneCase kZoneCases[] = {
  { "UTC0", 1700438400, { 0, 0 } },                    // Monday
  { "<+0545>-5:45", 1700438400, { 0, 5 } },            // Kathmandu
  { "EST5EDT,M3.2.0,M11.1.0", 1700438400, { 6, 19 } }, // Sunday in winter
  { "EST5EDT,M3.2.0,M11.1.0", 1689552000, { 6, 20 } }, // and in summer
  { kWarsaw, 1711846799, { 6, 1 } },                   // 2024-03-31 01:59
  { kWarsaw, 1711846800, { 6, 3 } },                   // 03:00
  { kWarsaw, 1729990799, { 6, 2 } },                   // 2024-10-27 02:59
  { kWarsaw, 1729990800, { 6, 2 } },                   // 02:00 again
  { kWarsaw, 1729994400, { 6, 3 } },
  { "AEST-10AEDT,M10.1.0,M4.1.0/3", 1704067200, { 0, 11 } } // Sydney
};

} // namespace

TEST_GROUP(ZoneTime){};

TEST(ZoneTime, ConvertsToLocalTime)
{
  for (const ZoneCase& it : kZoneCases) {
    const Result<ZoneRule> zone = ParseZoneRule(it.mRule);
    CHECK_TEXT(zone.has_value(), it.mRule);
    const LocalTime local = LocalTimeAt(zone.value(), it.mSeconds * 1000);
    CHECK_EQUAL_TEXT(it.mLocal.mDay, local.mDay, it.mRule);
    CHECK_EQUAL_TEXT(it.mLocal.mHour, local.mHour, it.mRule);
  }
}

TEST(ZoneTime, RejectsNamesThatAreNoTimeZones)
{
  for (const char* it :
       { "", "No/Where", "../etc/passwd", "/UTC", "tzdata.zi" }) {
    CHECK_FALSE_TEXT(LoadZone(it).has_value(), it);
  }
  CHECK(LoadZone("Europe/Warsaw").has_value());
}
