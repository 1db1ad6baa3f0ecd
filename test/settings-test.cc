#include "core/settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

std::string
Sample()
{
  return "[node]\nid = n1\nzone = a\ncaller_listen = 127.0.0.1:8080\n"
         "peer_listen = 127.0.0.1:9090\npeer_token = 0123456789abcdef\n"
         "operator_token = 0123456789abcdef\n"
         "[platform]\nurl = http://127.0.0.1:7000\n[limits]\nlinger_ms = 10\n";
}

struct InvalidSettingCase
{
  const char* mFrom;
  const char* mTo;
  Error mError;
  const char* mLocation;
};

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsValues)
{
  Result<Settings> settings = ParseSettings("f", Sample());
  CHECK(settings.has_value());
  CHECK_EQUAL(9090, settings.value().mPeerListen.mPort);
  CHECK_EQUAL(10, settings.value().mShutdownDelay.count());
}

TEST(Settings, ReportsFileAndLineOfAnError)
{
  const InvalidSettingCase cases[] = {
    { "zone = a", "zon = a", Error::SettingUnknown, "f:3" },
    { "[limits]", "[limit]", Error::SettingUnknown, "f:11" },
    { "zone = a\n", "", Error::SettingMissing, "[node] zone" },
    { "zone = a", "zone =", Error::SettingInvalid, "f:3" },
    { "id = n1", "id = n1\nid = n2", Error::SettingInvalid, "f:3" },
    { ":8080", ":80800", Error::SettingInvalid, "f:4" },
    { "http://", "ftp://", Error::SettingInvalid, "f:9" },
    { "linger_ms = 10", "linger_ms = x", Error::SettingInvalid, "f:11" },
    { "id = n1", "id", Error::SyntaxInvalid, "f:2" },
  };
  for (const InvalidSettingCase& it : cases) {
    std::string text = Sample();
    text.replace(text.find(it.mFrom), std::string(it.mFrom).size(), it.mTo);
    Result<Settings> settings = ParseSettings("f", text);
    CHECK_TEXT(!settings.has_value(), it.mTo);
    CHECK_TEXT(it.mError == settings.error().mError, it.mTo);
    STRCMP_CONTAINS_TEXT(
      it.mLocation, settings.error().mDetail.c_str(), it.mTo);
  }
}

TEST(Settings, SuggestsTheMostSimilarName)
{
  std::string text = Sample();
  text.replace(text.find("zone = a"), 4, "zoen");
  STRCMP_CONTAINS("[node] zone",
                  ParseSettings("f", text).error().mRemedy.c_str());
}
