#include "rules/format.h"

#include <array>
#include <cmath>

namespace hibiscushold {

namespace {

constexpr std::array<const char*, 7> kDayNames = { "Mon", "Tue", "Wed", "Thu",
                                                   "Fri", "Sat", "Sun" };
constexpr double kSecondsPerMinute = 60;

/// Builds the text of one rule, "name = key:value ...", and leaves out
/// attributes with an empty value.
class RuleFormatter
{
public:
  explicit RuleFormatter(const std::string& aName)
    : mText(aName + " =")
  {
  }

  RuleFormatter& Add(const char* aKey, const std::string& aValue)
  {
    if (!aValue.empty()) {
      mText += std::string(" ") + aKey + ":" + aValue;
    }
    return *this;
  }

  RuleFormatter& Add(const char* aKey, uint32_t aValue)
  {
    return Add(aKey, std::to_string(aValue));
  }

  RuleFormatter& AddYesNo(const char* aKey, bool aValue)
  {
    return Add(aKey, std::string(aValue ? "yes" : "no"));
  }

  /// @return the text; call it once, at the end
  std::string Finish() { return std::move(mText); }

private:
  std::string mText;
};

/// @return the rate per second, or per minute if it is not a whole number per
///         second; empty if there is no limit
std::string
RateText(double aPerSecond)
{
  if (aPerSecond <= 0) {
    return "";
  }
  const bool isWhole = std::floor(aPerSecond) == aPerSecond;
  const double number = isWhole ? aPerSecond : aPerSecond * kSecondsPerMinute;
  return std::to_string(std::llround(number)) + (isWhole ? "/s" : "/min");
}

std::string
DaysText(uint32_t aDays)
{
  std::string text;
  for (size_t i = 0; i < kDayNames.size(); ++i) {
    if ((aDays >> i & 1U) != 0) {
      text += (text.empty() ? "" : ",") + std::string(kDayNames[i]);
    }
  }
  return text;
}

const char*
PriorityText(Priority aPriority)
{
  switch (aPriority) {
    case Priority::Urgent:
      return "urgent";
    case Priority::Normal:
      return "normal";
    case Priority::Bulk:
      return "bulk";
  }
  return "";
}

template<class Rule>
void
AppendSection(std::string& aText,
              const char* aName,
              const std::vector<Rule>& aRules)
{
  if (aRules.empty()) {
    return;
  }
  aText += std::string("[") + aName + "]\n";
  for (const Rule& it : aRules) {
    aText += FormatRule(it) + "  # " + it.mOrigin.mRequester + "\n";
  }
}

} // namespace

std::string
FormatRule(const AccountRule& aRule)
{
  RuleFormatter line(aRule.mName);
  line.Add("key_sha256", aRule.mKeySha256);
  line.Add("rate", RateText(aRule.mRatePerSecond));
  if (aRule.mMaxConcurrency > 0) {
    line.Add("concurrency", aRule.mMaxConcurrency);
  }
  return line.Add("share", aRule.mQueueWeight).Finish();
}

std::string
FormatRule(const GroupRule& aRule)
{
  const bool enforced = aRule.mFencingMode == FencingMode::Enforced;
  return RuleFormatter(aRule.mName)
    .Add("model", aRule.mModel)
    .Add("pool", aRule.mPool)
    .Add("copies", aRule.mCopies)
    .Add("vms", aRule.mVmsPerCopy)
    .Add("spares", aRule.mSparesPerDomain)
    .Add("fencing", std::string(enforced ? "checked" : "ignored"))
    .Add("schedule", aRule.mSchedule)
    .Finish();
}

std::string
FormatRule(const ServiceRule& aRule)
{
  return RuleFormatter(aRule.mName).Add("targets", aRule.mPool).Finish();
}

std::string
FormatRule(const RouteRule& aRule)
{
  return RuleFormatter(aRule.mName)
    .Add("path", aRule.mPath)
    .Add("model", aRule.mModel)
    .Add("account", aRule.mAccount)
    .Add("to", aRule.mDestination)
    .Add("policy", aRule.mPolicy)
    .Finish();
}

std::string
FormatRule(const PolicyRule& aRule)
{
  return RuleFormatter(aRule.mName)
    .Add("priority", std::string(PriorityText(aRule.mPriority)))
    .AddYesNo("idempotent", aRule.mIdempotent)
    .Add("timeout", std::to_string(aRule.mTimeout.count()) + "ms")
    .Add("retries", aRule.mRetries)
    .AddYesNo("hedge", aRule.mHedge)
    .Finish();
}

std::string
FormatRule(const ScheduleRule& aRule)
{
  const bool downtime = aRule.mGoal == CapacityGoal::MinimizeDowntime;
  return RuleFormatter(aRule.mName)
    .Add("days", DaysText(aRule.mDayMask))
    .Add("hours",
         std::to_string(aRule.mFromHour) + "-" + std::to_string(aRule.mToHour))
    .Add("zone", aRule.mTimeZone)
    .Add("weigh", std::string(downtime ? "downtime" : "stranded"))
    .Finish();
}

std::string
FormatRules(const Rules& aRules)
{
  std::string text;
  AppendSection(text, "accounts", aRules.mAccounts);
  AppendSection(text, "groups", aRules.mGroups);
  AppendSection(text, "services", aRules.mServices);
  AppendSection(text, "routes", aRules.mRoutes);
  AppendSection(text, "policies", aRules.mPolicies);
  AppendSection(text, "schedules", aRules.mSchedules);
  return text;
}

} // namespace hibiscushold
