#include "gateway/settings.h"

#include "core/ini.h"
#include "core/number.h"

#include <functional>
#include <map>
#include <set>

namespace hibiscushold {

namespace {

/// Of any number in the settings; every integer that holds one is larger.
constexpr double kMaxNumber = 1e9;

using SettingParser =
  std::function<Result<void>(GatewaySettings&, const std::string&)>;

Failure
Invalid(const std::string& aValue, const char* aRemedy)
{
  return { Error::SettingInvalid, "'" + aValue + "'", aRemedy };
}

Result<double>
ParseReal(const std::string& aText)
{
  double number = 0;
  // Also false for NaN.
  const bool isInRange =
    ParseNumber(aText, number) && number >= 0 && number <= kMaxNumber;
  if (!isInRange) {
    return Invalid(aText, "give a number from 0 to 1000000000");
  }
  return number;
}

SettingParser
Text(std::string GatewaySettings::*aField)
{
  return [aField](GatewaySettings& aInto, const std::string& aValue) {
    if (aValue.empty()) {
      return Result<void>(Invalid(aValue, "give a value"));
    }
    aInto.*aField = aValue;
    return Result<void>(boost::outcome_v2::success());
  };
}

SettingParser
Address(Endpoint GatewaySettings::*aField)
{
  return [aField](GatewaySettings& aInto,
                  const std::string& aValue) -> Result<void> {
    BOOST_OUTCOME_TRY(value, ParseEndpoint(aValue));
    aInto.*aField = value;
    return boost::outcome_v2::success();
  };
}

SettingParser
Flag(bool GatewaySettings::*aField)
{
  return [aField](GatewaySettings& aInto, const std::string& aValue) {
    if (aValue != "true" && aValue != "false") {
      return Result<void>(Invalid(aValue, "choose true or false"));
    }
    aInto.*aField = aValue == "true";
    return Result<void>(boost::outcome_v2::success());
  };
}

/// @param aSet stores the parsed number, which is not negative
SettingParser
Number(std::function<void(GatewaySettings&, double)> aSet)
{
  return [aSet = std::move(aSet)](GatewaySettings& aInto,
                                  const std::string& aValue) -> Result<void> {
    BOOST_OUTCOME_TRY(value, ParseReal(aValue));
    aSet(aInto, value);
    return boost::outcome_v2::success();
  };
}

milliseconds
Millis(double aNumber)
{
  return milliseconds(static_cast<int64_t>(aNumber));
}

struct SettingSpec
{
  bool mRequired;
  SettingParser mParse;
};

const std::map<std::string, SettingSpec>&
KnownSettings()
{
  using Settings = GatewaySettings;
  static const std::map<std::string, SettingSpec> specs{
    { "node.id", { true, Text(&Settings::mNodeId) } },
    { "node.zone", { true, Text(&Settings::mZone) } },
    { "node.caller_listen", { true, Address(&Settings::mCallerListen) } },
    { "node.ready_listen", { true, Address(&Settings::mReadyListen) } },
    { "node.peer_listen", { true, Address(&Settings::mPeerListen) } },
    { "node.capacity", { false, Number([](Settings& aInto, double aValue) {
                           aInto.mCapacity = aValue;
                         }) } },
    { "node.first_start", { false, Flag(&Settings::mFirstStart) } },
    { "node.max_connections",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mMaxConnections = static_cast<uint32_t>(aValue);
        }) } },
    { "log.level", { false, Text(&Settings::mLogLevel) } },
    { "store.address", { true, Address(&Settings::mStore) } },
    { "limits.key_freshness_ms",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mMaxConfigAge = Millis(aValue);
        }) } },
    { "limits.grace_s", { false, Number([](Settings& aInto, double aValue) {
                            aInto.mShutdownGrace = Millis(aValue * 1000);
                          }) } },
    { "limits.leave_within_ms",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mLeaveBound = Millis(aValue);
        }) } },
    { "limits.repeat_ratio",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mRetryLimits.mRatio = aValue;
        }) } },
    { "limits.repeat_window_s",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mRetryLimits.mWindow = Millis(aValue * 1000);
        }) } },
    { "limits.repeat_slack",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mRetryLimits.mSlack = aValue;
        }) } },
    { "limits.cold_factor", { false, Number([](Settings& aInto, double aValue) {
                                aInto.mColdTolerance.mFactor = aValue;
                              }) } },
    { "limits.cold_extra_requests",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mColdTolerance.mExtraRequests = aValue;
        }) } },
    { "zones.out_within_ms",
      { false, Number([](Settings& aInto, double aValue) {
          aInto.mFollowsZones = aValue > 0;
        }) } },
    { "groups.stall_ms", { false, Number([](Settings& aInto, double aValue) {
                             aInto.mPlanner.mStallTimeout = Millis(aValue);
                           }) } },
  };
  return specs;
}

Failure
WithLocation(const std::string& aPath, int aLine, const Failure& aFailure)
{
  return { aFailure.mError,
           aPath + ":" + std::to_string(aLine) + ": " + aFailure.mDetail,
           aFailure.mRemedy };
}

Failure
UnknownSetting(const std::string& aName)
{
  std::vector<std::string> names;
  for (const auto& [name, spec] : KnownSettings()) {
    names.push_back(name);
  }
  return { Error::SettingUnknown,
           "'" + aName + "'",
           "did you mean '" + NearestName(aName, names) + "'?" };
}

Failure
Missing(const std::string& aPath, const std::string& aName)
{
  return { Error::SettingMissing, aPath + ": " + aName, "add it" };
}

} // namespace

Result<GatewaySettings>
ParseGatewaySettings(const std::string& aPath, std::string_view aText)
{
  const IniFile file = ParseIni(aText);
  if (!file.mErrors.empty()) {
    return WithLocation(aPath, file.mErrors[0].mLine, file.mErrors[0].mFailure);
  }
  GatewaySettings settings;
  std::set<std::string> seen;
  for (const IniLine& it : file.mLines) {
    std::string name = it.mSection;
    name.append(".").append(it.mName);
    const auto spec = KnownSettings().find(name);
    if (spec == KnownSettings().end()) {
      return WithLocation(aPath, it.mLine, UnknownSetting(name));
    }
    seen.insert(name);
    // An empty value keeps the default of an optional setting.
    if (it.mValue.empty() && !spec->second.mRequired) {
      continue;
    }
    const Result<void> parsed = spec->second.mParse(settings, it.mValue);
    if (!parsed) {
      return WithLocation(aPath, it.mLine, parsed.error());
    }
  }
  for (const auto& [name, spec] : KnownSettings()) {
    if (spec.mRequired && !seen.contains(name)) {
      return Missing(aPath, name);
    }
  }
  return settings;
}

Result<GatewaySettings>
LoadGatewaySettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadTextFile(aPath, kMaxSettingsBytes));
  return ParseGatewaySettings(aPath, text);
}

} // namespace hibiscushold
