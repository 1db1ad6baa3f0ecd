#include "core/settings.h"

#include "core/ini.h"
#include "core/number.h"
#include "core/tokenset.h"

#include <functional>
#include <set>
#include <vector>

namespace hibiscushold {

namespace {

Failure
Invalid(const std::string& aValue, std::string aRemedy)
{
  return { Error::SettingInvalid, "'" + aValue + "'", std::move(aRemedy) };
}

Result<uint32_t>
ParseCount(const std::string& aText, uint32_t aMin, uint32_t aMax)
{
  uint32_t number = 0;
  if (!ParseNumber(aText, number) || number < aMin || number > aMax) {
    return Invalid(aText,
                   "give a whole number from " + std::to_string(aMin) + " to " +
                     std::to_string(aMax));
  }
  return number;
}

/// Parses a value and stores it in the settings.
using Setter = std::function<Result<void>(Settings&, const std::string&)>;

struct SettingSpec
{
  std::string mSection;
  std::string mName;
  bool mRequired;
  Setter mSet;
};

Setter
SetText(std::string Settings::*aField)
{
  return [aField](Settings& aSettings, const std::string& aValue) {
    if (aValue.empty()) {
      return Result<void>(Invalid(aValue, "give a value"));
    }
    aSettings.*aField = aValue;
    return Result<void>(boost::outcome_v2::success());
  };
}

Setter
SetTokens(std::string Settings::*aField)
{
  return
    [aField](Settings& aSettings, const std::string& aValue) -> Result<void> {
      BOOST_OUTCOME_TRY(CheckTokens(aValue));
      aSettings.*aField = aValue;
      return boost::outcome_v2::success();
    };
}

Setter
SetTlsFile(std::string TlsFiles::*aField)
{
  return [aField](Settings& aSettings, const std::string& aValue) {
    if (aValue.empty()) {
      return Result<void>(Invalid(aValue, "give the path of a PEM file"));
    }
    aSettings.mTls.*aField = aValue;
    return Result<void>(boost::outcome_v2::success());
  };
}

Setter
SetYesNo(bool Settings::*aField)
{
  return [aField](Settings& aSettings, const std::string& aValue) {
    if (aValue != "yes" && aValue != "no") {
      return Result<void>(Invalid(aValue, "choose yes or no"));
    }
    aSettings.*aField = aValue == "yes";
    return Result<void>(boost::outcome_v2::success());
  };
}

Setter
SetEndpoint(Endpoint Settings::*aField)
{
  return
    [aField](Settings& aSettings, const std::string& aValue) -> Result<void> {
      BOOST_OUTCOME_TRY(value, ParseEndpoint(aValue));
      aSettings.*aField = value;
      return boost::outcome_v2::success();
    };
}

Setter
SetCount(uint32_t Settings::*aField, uint32_t aMin, uint32_t aMax)
{
  return [aField, aMin, aMax](Settings& aSettings,
                              const std::string& aValue) -> Result<void> {
    BOOST_OUTCOME_TRY(value, ParseCount(aValue, aMin, aMax));
    aSettings.*aField = value;
    return boost::outcome_v2::success();
  };
}

Setter
SetMillis(milliseconds Settings::*aField, uint32_t aMin, uint32_t aMax)
{
  return [aField, aMin, aMax](Settings& aSettings,
                              const std::string& aValue) -> Result<void> {
    BOOST_OUTCOME_TRY(n, ParseCount(aValue, aMin, aMax));
    aSettings.*aField = milliseconds(n);
    return boost::outcome_v2::success();
  };
}

Setter
SetSeconds(milliseconds Settings::*aField, uint32_t aMin, uint32_t aMax)
{
  return [aField, aMin, aMax](Settings& aSettings,
                              const std::string& aValue) -> Result<void> {
    BOOST_OUTCOME_TRY(n, ParseCount(aValue, aMin, aMax));
    aSettings.*aField = seconds(n);
    return boost::outcome_v2::success();
  };
}

Result<void>
SetPlatform(Settings& aSettings, const std::string& aValue)
{
  constexpr std::string_view kScheme = "http://";
  if (!aValue.starts_with(kScheme)) {
    return Invalid(aValue, "write http://HOST:PORT");
  }
  BOOST_OUTCOME_TRY(value, ParseEndpoint(aValue.substr(kScheme.size())));
  aSettings.mPlatform = value;
  return boost::outcome_v2::success();
}

Result<void>
SetLogLevel(Settings& aSettings, const std::string& aValue)
{
  static const std::set<std::string> levels{ "debug", "info", "warn", "error" };
  if (!levels.contains(aValue)) {
    return Invalid(aValue, "choose debug, info, warn or error");
  }
  aSettings.mLogLevel = aValue;
  return boost::outcome_v2::success();
}

Result<void>
SetLogFormat(Settings& aSettings, const std::string& aValue)
{
  if (aValue != "plain" && aValue != "json") {
    return Invalid(aValue, "choose plain or json");
  }
  aSettings.mLogJson = aValue == "json";
  return boost::outcome_v2::success();
}

const std::vector<SettingSpec>&
SettingSpecs()
{
  static const std::vector<SettingSpec> specs{
    { "node", "id", true, SetText(&Settings::mNodeId) },
    { "node", "zone", true, SetText(&Settings::mZone) },
    { "node", "caller_listen", true, SetEndpoint(&Settings::mCallerListen) },
    { "node", "peer_listen", true, SetEndpoint(&Settings::mPeerListen) },
    { "node", "peer_token", true, SetTokens(&Settings::mPeerToken) },
    { "node", "operator_token", true, SetTokens(&Settings::mOperatorToken) },
    { "platform", "url", true, SetPlatform },
    { "platform",
      "calls_per_second",
      false,
      SetCount(&Settings::mStoreCallsPerSecond, 1, 2000) },
    { "tls", "certificate", false, SetTlsFile(&TlsFiles::mCertificateFile) },
    { "tls", "key", false, SetTlsFile(&TlsFiles::mKeyFile) },
    { "tls", "authority", false, SetTlsFile(&TlsFiles::mCaFile) },
    { "tls", "callers", false, SetYesNo(&Settings::mTlsForCallers) },
    { "tls",
      "plain_allowed",
      false,
      SetYesNo(&Settings::mAllowPlaintextPeers) },
    { "log", "level", false, SetLogLevel },
    { "log", "format", false, SetLogFormat },
    { "limits",
      "connections",
      false,
      SetCount(&Settings::mMaxConnections, 1, 10000) },
    { "limits",
      "body_bytes",
      false,
      SetCount(&Settings::mMaxBodyBytes, 1, 100000000) },
    { "limits",
      "header_fields",
      false,
      SetCount(&Settings::mMaxHeaderFields, 1, 100) },
    { "limits",
      "body_ms",
      false,
      SetMillis(&Settings::mBodyTimeout, 100, 600000) },
    { "limits",
      "min_members",
      false,
      SetCount(&Settings::mMinMembers, 1, 1000) },
    { "limits",
      "linger_ms",
      false,
      SetMillis(&Settings::mShutdownDelay, 0, 600000) },
    { "limits",
      "freshness_ms",
      false,
      SetMillis(&Settings::mMaxConfigAge, 500, 60000) },
    { "limits",
      "evidence_ms",
      false,
      SetMillis(&Settings::mMaxProbeAge, 200, 60000) },
    { "limits",
      "lease_ms",
      false,
      SetMillis(&Settings::mLeaseDuration, 500, 60000) },
    { "limits",
      "first_byte_ms",
      false,
      SetMillis(&Settings::mFirstByteTimeout, 100, 600000) },
    { "limits",
      "event_gap_ms",
      false,
      SetMillis(&Settings::mMaxEventGap, 100, 600000) },
    { "limits",
      "claim_retention_s",
      false,
      SetSeconds(&Settings::mClaimRetention, 600, 2592000) },
  };
  return specs;
}

Failure
WithLocation(const std::string& aPath, int aLine, Failure aFailure)
{
  aFailure.mDetail =
    aPath + ":" + std::to_string(aLine) + ": " + aFailure.mDetail;
  return aFailure;
}

Failure
UnknownSetting(const std::string& aName)
{
  std::vector<std::string> names;
  for (const SettingSpec& it : SettingSpecs()) {
    names.push_back("[" + it.mSection + "] " + it.mName);
  }
  return { Error::SettingUnknown,
           aName,
           "did you mean " + NearestName(aName, names) + "?" };
}

Result<const SettingSpec*>
FindSettingSpec(const IniLine& aLine)
{
  for (const SettingSpec& it : SettingSpecs()) {
    if (it.mSection == aLine.mSection && it.mName == aLine.mName) {
      return &it;
    }
  }
  return UnknownSetting("[" + aLine.mSection + "] " + aLine.mName);
}

Result<void>
ApplySetting(Settings& aSettings,
             std::set<const SettingSpec*>& aAssigned,
             const IniLine& aLine)
{
  BOOST_OUTCOME_TRY(spec, FindSettingSpec(aLine));
  if (!aAssigned.insert(spec).second) {
    return Invalid(aLine.mName, "the setting is given twice, keep one");
  }
  Result<void> set = spec->mSet(aSettings, aLine.mValue);
  if (!set) {
    Failure failure = set.error();
    failure.mDetail = aLine.mName + " = " + failure.mDetail;
    return failure;
  }
  return boost::outcome_v2::success();
}

/// Rejects a configuration that would send tokens unencrypted to other
/// machines.
Result<void>
CheckPeerEncryption(const std::string& aPath, const Settings& aSettings)
{
  const TlsFiles& tls = aSettings.mTls;
  const bool anyFile =
    tls.IsConfigured() || !tls.mKeyFile.empty() || !tls.mCaFile.empty();
  const bool allFiles =
    tls.IsConfigured() && !tls.mKeyFile.empty() && !tls.mCaFile.empty();
  if (anyFile && !allFiles) {
    return Failure{ Error::SettingMissing,
                    aPath + ": [tls] needs certificate, key and authority",
                    "add the missing ones" };
  }
  const std::string& host = aSettings.mPeerListen.mHost;
  const bool loopback = host.starts_with("127.") || host == "localhost";
  if (!anyFile && !loopback && !aSettings.mAllowPlaintextPeers) {
    return Failure{ Error::SettingInvalid,
                    aPath + ": [node] peer_listen = " + host +
                      " would carry tokens in the clear",
                    "set up [tls], or write [tls] plain_allowed = yes" };
  }
  return boost::outcome_v2::success();
}

} // namespace

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::string text(aText);
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return Invalid(text, "write HOST:PORT");
  }
  Result<uint32_t> port = ParseCount(text.substr(colon + 1), 0, 65535);
  if (!port) {
    return Invalid(text, "write HOST:PORT with a port up to 65535");
  }
  return Endpoint{ text.substr(0, colon), static_cast<uint16_t>(port.value()) };
}

Result<Settings>
ParseSettings(const std::string& aPath, std::string_view aText)
{
  const IniFile file = ParseIni(aText);
  if (!file.mErrors.empty()) {
    const LineError& error = file.mErrors.front();
    return WithLocation(aPath, error.mLine, error.mFailure);
  }
  Settings settings;
  settings.mPath = aPath;
  std::set<const SettingSpec*> assigned;
  for (const IniLine& it : file.mLines) {
    Result<void> applied = ApplySetting(settings, assigned, it);
    if (!applied) {
      return WithLocation(aPath, it.mLine, applied.error());
    }
  }
  for (const SettingSpec& it : SettingSpecs()) {
    if (it.mRequired && !assigned.contains(&it)) {
      return Failure{ Error::SettingMissing,
                      aPath + ": [" + it.mSection + "] " + it.mName,
                      "add it" };
    }
  }
  BOOST_OUTCOME_TRY(CheckPeerEncryption(aPath, settings));
  return settings;
}

Result<Settings>
LoadSettings(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadTextFile(aPath, kMaxSettingsBytes));
  return ParseSettings(aPath, text);
}

} // namespace hibiscushold
