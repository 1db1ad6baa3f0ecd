#include "rules/parse.h"

#include "rules/attributes.h"
#include "rules/check.h"

#include <algorithm>
#include <array>

namespace hibiscushold {

namespace {

using detail::AttributeReader;

constexpr uint32_t kMaxCount = 100000;

/// Appends a rule with the name and the origin of the line.
template<class Rule>
Rule&
AddRule(std::vector<Rule>& aRules, const IniLine& aLine)
{
  Rule& rule = aRules.emplace_back();
  rule.mName = aLine.mName;
  rule.mOrigin = { aLine.mLine, aLine.mComment };
  return rule;
}

void
ReadAccount(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  AccountRule& rule = AddRule(aRules.mAccounts, aLine);
  aReader.ReadRequiredText("key_sha256", rule.mKeySha256);
  aReader.ReadRate("rate", rule.mRatePerSecond);
  aReader.ReadCount("concurrency", rule.mMaxConcurrency, 1, kMaxCount);
  aReader.ReadCount("share", rule.mQueueWeight, 1, 1000);
}

void
ReadGroup(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  GroupRule& rule = AddRule(aRules.mGroups, aLine);
  aReader.ReadRequiredText("model", rule.mModel);
  aReader.ReadText("pool", rule.mPool);
  aReader.ReadCount("copies", rule.mCopies, 0, kMaxCount);
  aReader.ReadCount("vms", rule.mVmsPerCopy, 1, 1000);
  aReader.ReadCount("spares", rule.mSparesPerDomain, 0, kMaxCount);
  aReader.ReadChoice<FencingMode>("fencing",
                                  rule.mFencingMode,
                                  { { "checked", FencingMode::Enforced },
                                    { "ignored", FencingMode::Ignored } });
  aReader.ReadText("schedule", rule.mSchedule);
}

void
ReadService(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  ServiceRule& rule = AddRule(aRules.mServices, aLine);
  aReader.ReadRequiredText("targets", rule.mPool);
}

void
ReadRoute(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  RouteRule& rule = AddRule(aRules.mRoutes, aLine);
  aReader.ReadRequiredText("path", rule.mPath);
  aReader.ReadText("model", rule.mModel);
  aReader.ReadText("account", rule.mAccount);
  aReader.ReadRequiredText("to", rule.mDestination);
  aReader.ReadRequiredText("policy", rule.mPolicy);
}

void
ReadPolicy(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  PolicyRule& rule = AddRule(aRules.mPolicies, aLine);
  aReader.ReadChoice<Priority>("priority",
                               rule.mPriority,
                               { { "urgent", Priority::Urgent },
                                 { "normal", Priority::Normal },
                                 { "bulk", Priority::Bulk } });
  aReader.ReadYesNo("idempotent", rule.mIdempotent);
  aReader.ReadDuration("timeout", rule.mTimeout);
  aReader.ReadCount("retries", rule.mRetries, 0, 10);
  aReader.ReadYesNo("hedge", rule.mHedge);
}

void
ReadSchedule(Rules& aRules, const IniLine& aLine, AttributeReader& aReader)
{
  ScheduleRule& rule = AddRule(aRules.mSchedules, aLine);
  aReader.ReadDays("days", rule.mDayMask);
  aReader.ReadHours("hours", rule.mFromHour, rule.mToHour);
  aReader.ReadText("zone", rule.mTimeZone);
  aReader.ReadChoice<CapacityGoal>(
    "weigh",
    rule.mGoal,
    { { "downtime", CapacityGoal::MinimizeDowntime },
      { "stranded", CapacityGoal::MinimizeStranded } });
}

/// A section of the file and the function that reads one of its lines.
struct Section
{
  const char* mName;
  void (*mReadRule)(Rules&, const IniLine&, AttributeReader&);
};

constexpr std::array<Section, 6> kSections = { {
  { "accounts", ReadAccount },
  { "groups", ReadGroup },
  { "services", ReadService },
  { "routes", ReadRoute },
  { "policies", ReadPolicy },
  { "schedules", ReadSchedule },
} };

const Section*
FindSection(std::string_view aName)
{
  for (const Section& it : kSections) {
    if (it.mName == aName) {
      return &it;
    }
  }
  return nullptr;
}

void
AddFault(std::vector<LineError>& aFaults,
         int aLine,
         Error aError,
         std::string aDetail,
         std::string aRemedy)
{
  Failure failure{ aError, std::move(aDetail), std::move(aRemedy) };
  aFaults.push_back({ aLine, std::move(failure) });
}

void
CheckRequesterAndName(const IniLine& aLine, std::vector<LineError>& aFaults)
{
  if (aLine.mComment.empty()) {
    AddFault(aFaults,
             aLine.mLine,
             Error::RequesterMissing,
             "rule '" + aLine.mName + "'",
             "end the line with '# who asked for it'");
  }
  const bool hasInvalidChar = std::any_of(
    aLine.mName.begin(), aLine.mName.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) == 0 && aChar != '-' && aChar != '_' &&
             aChar != '.';
    });
  if (hasInvalidChar || aLine.mName.size() > kMaxNameBytes) {
    AddFault(aFaults,
             aLine.mLine,
             Error::RuleInvalid,
             "name '" + aLine.mName + "' is invalid",
             "use up to 63 letters, digits, '-', '_' and '.'");
  }
}

void
ReadLine(ParsedRules& aParsed, const IniLine& aLine)
{
  const Section* section = FindSection(aLine.mSection);
  if (section == nullptr) {
    std::vector<std::string> names;
    for (const Section& it : kSections) {
      names.emplace_back(it.mName);
    }
    AddFault(aParsed.mFaults,
             aLine.mLine,
             Error::RuleInvalid,
             "unknown section [" + aLine.mSection + "]",
             "did you mean [" + NearestName(aLine.mSection, names) + "]?");
    return;
  }
  CheckRequesterAndName(aLine, aParsed.mFaults);
  AttributeReader reader(aLine, aParsed.mFaults);
  section->mReadRule(aParsed.mRules, aLine, reader);
  reader.ReportUnknown();
}

} // namespace

ParsedRules
ParseRules(std::string_view aText)
{
  ParsedRules parsed;
  if (aText.size() > kMaxRulesBytes) {
    AddFault(parsed.mFaults,
             0,
             Error::FileTooLarge,
             "the file holds " + std::to_string(aText.size()) + " bytes",
             "the limit is " + std::to_string(kMaxRulesBytes) + " bytes");
    return parsed;
  }
  IniFile file = ParseIni(aText);
  parsed.mFaults = std::move(file.mErrors);
  if (file.mLines.size() > kMaxRules) {
    AddFault(parsed.mFaults,
             file.mLines[kMaxRules].mLine,
             Error::FileTooLarge,
             "the file holds " + std::to_string(file.mLines.size()) + " rules",
             "the limit is " + std::to_string(kMaxRules) + " rules");
    return parsed;
  }
  for (const IniLine& it : file.mLines) {
    ReadLine(parsed, it);
  }
  CheckRules(parsed.mRules, parsed.mFaults);
  std::stable_sort(parsed.mFaults.begin(),
                   parsed.mFaults.end(),
                   [](auto& aL, auto& aR) { return aL.mLine < aR.mLine; });
  return parsed;
}

std::string
DescribeFaults(std::string_view aFile, std::span<const LineError> aFaults)
{
  std::string text;
  for (const LineError& it : aFaults) {
    text += std::string(aFile) + ":" + std::to_string(it.mLine) + ": " +
            Describe(it.mFailure) + "\n";
  }
  return text;
}

} // namespace hibiscushold
