#include "groups/warmmodels.h"

#include "core/zonetime.h"

#include <map>
#include <mutex>
#include <optional>

namespace hibiscushold {

namespace {

/// Finds a time zone's rule. Each zone is loaded from the system only once.
/// @return the rule, or null when the zone is unknown
const ZoneRule*
FindZone(const std::string& aZone)
{
  static std::mutex sLock;
  static std::map<std::string, std::optional<ZoneRule>> sZones;
  const std::lock_guard guard(sLock);
  const auto [it, added] = sZones.try_emplace(aZone);
  if (added) {
    Result<ZoneRule> zone = LoadZone(aZone);
    it->second = zone ? std::optional(zone.value()) : std::nullopt;
  }
  return it->second ? &*it->second : nullptr;
}

} // namespace

bool
IsScheduleActive(const ScheduleRule& aRule, int64_t aWallMillis)
{
  const ZoneRule* zone = FindZone(aRule.mTimeZone);
  const LocalTime local =
    LocalTimeAt(zone == nullptr ? ZoneRule{} : *zone, aWallMillis);
  const bool day = ((aRule.mDayMask >> local.mDay) & 1U) != 0;
  return day && local.mHour >= aRule.mFromHour && local.mHour < aRule.mToHour;
}

CapacityGoal
CapacityGoalAt(const Rules& aRules, const GroupRule& aRule, int64_t aWallMillis)
{
  const ScheduleRule* schedule = FindRule(aRules.mSchedules, aRule.mSchedule);
  if (schedule == nullptr) {
    return CapacityGoal::MinimizeDowntime;
  }
  if (IsScheduleActive(*schedule, aWallMillis)) {
    return schedule->mGoal;
  }
  return schedule->mGoal == CapacityGoal::MinimizeDowntime
           ? CapacityGoal::MinimizeStranded
           : CapacityGoal::MinimizeDowntime;
}

std::vector<WarmDemand>
DecideWarmModels(const Rules& aRules,
                 const CopyCounts& aCopies,
                 int64_t aWallMillis)
{
  std::vector<WarmDemand> demands;
  for (const GroupRule& it : aRules.mGroups) {
    const auto copies = aCopies.find(it.mName);
    const bool here = copies != aCopies.end() && copies->second > 0;
    if (here && it.mSparesPerDomain > 0 &&
        CapacityGoalAt(aRules, it, aWallMillis) ==
          CapacityGoal::MinimizeDowntime) {
      demands.push_back({ it.mPool, it.mModel, it.mSparesPerDomain });
    }
  }
  return demands;
}

} // namespace hibiscushold
