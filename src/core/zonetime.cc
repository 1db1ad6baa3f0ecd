#include "core/zonetime.h"

#include <chrono>
#include <fstream>
#include <regex>

namespace hibiscushold {

namespace {

using std::chrono::sys_days;
using std::chrono::sys_seconds;

constexpr const char* kZoneInfoDirectory = "/usr/share/zoneinfo/";
constexpr int32_t kSecondsPerHour = 3600;
constexpr int32_t kSecondsPerMinute = 60;
constexpr int32_t kDefaultTransitionTime = 2 * kSecondsPerHour;
constexpr uint32_t kLastWeek = 5;

Failure
UnknownZone(const std::string& aZone)
{
  return { Error::RuleInvalid,
           "time zone '" + aZone + "'",
           "name one of the system's database, such as Europe/Warsaw" };
}

/// @param aText "[+-]H[:M[:S]]"
/// @return the value in seconds
int32_t
ParseSeconds(const std::string& aText)
{
  static const std::regex kPattern("([+-]?)(\\d+)(?::(\\d+))?(?::(\\d+))?");
  std::smatch groups;
  std::regex_match(aText, groups, kPattern);
  const auto toNumber = [&](size_t aGroup) {
    return groups[aGroup].matched ? std::stoi(groups[aGroup]) : 0;
  };
  const int32_t magnitude = toNumber(2) * kSecondsPerHour +
                            toNumber(3) * kSecondsPerMinute + toNumber(4);
  return groups[1] == "-" ? -magnitude : magnitude;
}

ZoneTransition
ParseTransition(const std::smatch& aGroups, size_t aFirst)
{
  const auto toNumber = [&](size_t aGroup) {
    return static_cast<uint32_t>(std::stoul(aGroups[aGroup]));
  };
  ZoneTransition transition;
  transition.mMonth = toNumber(aFirst);
  transition.mWeek = toNumber(aFirst + 1);
  transition.mWeekday = toNumber(aFirst + 2);
  transition.mTimeOfDay = aGroups[aFirst + 3].matched
                            ? ParseSeconds(aGroups[aFirst + 3])
                            : kDefaultTransitionTime;
  return transition;
}

/// @param aOffset offset from UTC in seconds before the transition
sys_seconds
TransitionTime(std::chrono::year aYear,
               const ZoneTransition& aTransition,
               int32_t aOffset)
{
  const std::chrono::weekday day{ aTransition.mWeekday };
  const std::chrono::month month{ aTransition.mMonth };
  const sys_days date = aTransition.mWeek == kLastWeek
                          ? sys_days(aYear / month / day[std::chrono::last])
                          : sys_days(aYear / month / day[aTransition.mWeek]);
  return date + std::chrono::seconds(aTransition.mTimeOfDay - aOffset);
}

int32_t
OffsetAt(const ZoneRule& aZone, sys_seconds aTime)
{
  if (!aZone.mHasDaylight) {
    return aZone.mStandardOffset;
  }
  const std::chrono::year_month_day date{ std::chrono::floor<std::chrono::days>(
    aTime + std::chrono::seconds(aZone.mStandardOffset)) };
  const sys_seconds start =
    TransitionTime(date.year(), aZone.mDaylightStart, aZone.mStandardOffset);
  const sys_seconds end =
    TransitionTime(date.year(), aZone.mDaylightEnd, aZone.mDaylightOffset);
  const bool within = aTime >= start && aTime < end;
  const bool outside = aTime >= end && aTime < start;
  // In the southern hemisphere daylight saving time spans the new year.
  const bool daylight = start < end ? within : !outside;
  return daylight ? aZone.mDaylightOffset : aZone.mStandardOffset;
}

} // namespace

Result<ZoneRule>
ParseZoneRule(const std::string& aText)
{
  static const std::string kName = "(?:[A-Za-z]{3,}|<[A-Za-z0-9+-]+>)";
  static const std::string kTime = "([+-]?\\d{1,3}(?::\\d{2}){0,2})";
  static const std::string kTransition =
    ",M(\\d{1,2})\\.([1-5])\\.([0-6])(?:/" + kTime + ")?";
  static const std::regex kPattern(kName + kTime + "(" + kName + kTime + "?" +
                                   kTransition + kTransition + ")?");
  std::smatch groups;
  if (!std::regex_match(aText, groups, kPattern)) {
    return UnknownZone(aText);
  }
  ZoneRule zone;
  zone.mStandardOffset = -ParseSeconds(groups[1]);
  zone.mHasDaylight = groups[2].matched;
  if (zone.mHasDaylight) {
    zone.mDaylightOffset = groups[3].matched
                             ? -ParseSeconds(groups[3])
                             : zone.mStandardOffset + kSecondsPerHour;
    zone.mDaylightStart = ParseTransition(groups, 4);
    zone.mDaylightEnd = ParseTransition(groups, 8);
  }
  return zone;
}

Result<ZoneRule>
LoadZone(const std::string& aZone)
{
  static const std::regex kPattern("[A-Za-z0-9_+-]+(?:/[A-Za-z0-9_+-]+)*");
  if (!std::regex_match(aZone, kPattern)) {
    return UnknownZone(aZone);
  }
  std::ifstream file(kZoneInfoDirectory + aZone, std::ios::binary);
  std::string magic;
  std::string rule;
  // The last line of a TZif file holds the current rule in POSIX form.
  for (std::string line; std::getline(file, line);) {
    magic = magic.empty() ? line.substr(0, 4) : magic;
    rule = line;
  }
  if (magic != "TZif") {
    return UnknownZone(aZone);
  }
  return ParseZoneRule(rule);
}

LocalTime
LocalTimeAt(const ZoneRule& aZone, int64_t aWallMillis)
{
  const sys_seconds time = std::chrono::floor<std::chrono::seconds>(
    std::chrono::sys_time<std::chrono::milliseconds>(
      std::chrono::milliseconds(aWallMillis)));
  const sys_seconds local = time + std::chrono::seconds(OffsetAt(aZone, time));
  const sys_days day = std::chrono::floor<std::chrono::days>(local);
  const std::chrono::weekday weekday{ day };
  return { weekday.iso_encoding() - 1,
           static_cast<uint32_t>(
             std::chrono::floor<std::chrono::hours>(local - day).count()) };
}

} // namespace hibiscushold
