#include "gateway/settings.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const std::string kRequiredSettings = "[node]\nid = n1\nzone = a\n"
                                      "caller_listen = 127.0.0.1:1\n"
                                      "ready_listen = 127.0.0.1:2\n"
                                      "peer_listen = 127.0.0.1:4\n"
                                      "[store]\naddress = 127.0.0.1:3\n";

} // namespace

TEST_GROUP(GatewaySettings){};

TEST(GatewaySettings, ReadsLimitsAndKeepsDefaultsForEmptyValues)
{
  const GatewaySettings settings =
    ParseGatewaySettings("f",
                         kRequiredSettings +
                           "[limits]\nkey_freshness_ms = 4000\n"
                           "repeat_ratio = 0.2\ngrace_s =\n"
                           "leave_within_ms = 3000\n"
                           "[groups]\nstall_ms = 6000\n")
      .value();
  CHECK(milliseconds(4000) == settings.mMaxConfigAge);
  CHECK(milliseconds(8000) == settings.mShutdownGrace);
  CHECK(milliseconds(3000) == settings.mLeaveBound);
  DOUBLES_EQUAL(0.2, settings.mRetryLimits.mRatio, 1e-9);
  CHECK(milliseconds(6000) == settings.mPlanner.mStallTimeout);
  CHECK(!settings.mFirstStart);
}

TEST(GatewaySettings, ReadsTheBoundsOfColdTargetsAndOfZones)
{
  const GatewaySettings none =
    ParseGatewaySettings("f", kRequiredSettings).value();
  CHECK(!none.mFollowsZones);
  DOUBLES_EQUAL(1, none.mColdTolerance.mFactor, 1e-9);
  DOUBLES_EQUAL(0, none.mColdTolerance.mExtraRequests, 1e-9);
  const GatewaySettings settings =
    ParseGatewaySettings("f",
                         kRequiredSettings + "[limits]\ncold_factor = 1.5\n"
                                             "cold_extra_requests = 5\n"
                                             "[zones]\nout_within_ms = 5000\n")
      .value();
  CHECK(settings.mFollowsZones);
  DOUBLES_EQUAL(1.5, settings.mColdTolerance.mFactor, 1e-9);
  DOUBLES_EQUAL(5, settings.mColdTolerance.mExtraRequests, 1e-9);
  // A platform without the bound leaves the value empty.
  CHECK(
    !ParseGatewaySettings("f", kRequiredSettings + "[zones]\nout_within_ms =\n")
       .value()
       .mFollowsZones);
}

TEST(GatewaySettings, ReportsTheFirstError)
{
  const std::pair<std::string, Error> cases[] = {
    { kRequiredSettings + "[limits]\ngrace = 8\n", Error::SettingUnknown },
    { kRequiredSettings + "[limits]\ngrace_s = long\n", Error::SettingInvalid },
    { kRequiredSettings + "[limits]\ngrace_s = -1\n", Error::SettingInvalid },
    { kRequiredSettings + "[node]\nfirst_start = maybe\n",
      Error::SettingInvalid },
    { "[node]\nid = n1\n", Error::SettingMissing },
    { "[node]\nid =\n", Error::SettingInvalid },
    { "[node\n", Error::SyntaxInvalid },
  };
  for (const auto& [text, error] : cases) {
    const Result<GatewaySettings> settings = ParseGatewaySettings("f", text);
    CHECK_TEXT(!settings, text.c_str());
    CHECK_TEXT(error == settings.error().mError, text.c_str());
  }
}

// Guards against a number that no integer holds, which is cast to one.
TEST(GatewaySettings, RefusesNumbersOutOfRange)
{
  const std::string names[] = {
    "[node]\ncapacity",           "[node]\nmax_connections",
    "[limits]\nkey_freshness_ms", "[limits]\ngrace_s",
    "[limits]\nrepeat_ratio",     "[limits]\nrepeat_window_s",
    "[limits]\nrepeat_slack",     "[groups]\nstall_ms",
    "[limits]\ncold_factor",      "[limits]\ncold_extra_requests",
    "[zones]\nout_within_ms",     "[limits]\nleave_within_ms"
  };
  const std::string values[] = { "2147483648",
                                 "4294967296",
                                 "9223372036854775808",
                                 "18446744073709551615",
                                 "1e308",
                                 "-1",
                                 "nan",
                                 "inf" };
  for (const std::string& name : names) {
    for (const std::string& value : values) {
      std::string text = kRequiredSettings;
      text.append(name).append(" = ").append(value).append("\n");
      const Result<GatewaySettings> settings = ParseGatewaySettings("f", text);
      CHECK_TEXT(!settings, text.c_str());
      CHECK_TEXT(Error::SettingInvalid == settings.error().mError,
                 text.c_str());
    }
  }
}
