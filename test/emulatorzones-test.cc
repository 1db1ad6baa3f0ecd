#include "emulator/judge.h"
#include "emulator/scenario.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::emulator;

namespace {

constexpr int64_t kAck = 10000;
constexpr int64_t kBack = 20000;
constexpr double kColdPerSecond = 4; ///< 11 are allowed in a second

} // namespace

TEST_GROUP(EmulatorZones)
{
  Lines mLines;

  void setup() override
  {
    mLines.mZones.push_back({ "z", kAck, kBack });
  }

  void Arrive(const std::string& aZone, int64_t aAt, bool aIsCold)
  {
    RequestLine request;
    request.mId = mLines.mRequests.size() + 1;
    request.mSentAt = aAt - 1;
    request.mEndedAt = aAt + 1;
    mLines.mRequests.push_back(request);
    mLines.mArrivals.push_back({ request.mId, "t", aAt, aZone, aIsCold });
  }

  size_t CountOut() const
  {
    return JudgeZonesOut(mLines, {}).size();
  }
  size_t CountCold() const
  {
    return JudgeCold(mLines, kColdPerSecond, {}).size();
  }
};

// Guards against a judge that misses requests to a zone out of service.
TEST(EmulatorZones, JudgeNamesArrivalsBetweenTheBoundAndTheReturn)
{
  Arrive("z", kAck + 5000, false);
  Arrive("other", kAck + 6000, false);
  Arrive("z", kBack, false);
  CHECK_EQUAL(0U, CountOut());
  Arrive("z", kAck + 5001, false);
  STRCMP_EQUAL("EVAC", JudgeZonesOut(mLines, {}).at(0).mRule.c_str());
  Arrive("z", kBack - 1, false);
  CHECK_EQUAL(2U, CountOut());
}

// Guards against a judge that excuses a node that has just started.
TEST(EmulatorZones, JudgeExcusesACutButNotAStart)
{
  using Kind = DisturbanceLine::Kind;
  Arrive("z", kAck + 6000, false);
  mLines.mDisturbances = { { Kind::Start, 0, kAck, kAck + 5500 } };
  CHECK_EQUAL(1U, CountOut());
  mLines.mDisturbances = { { Kind::Cut, 1, kAck, kAck + 5500 } };
  CHECK_EQUAL(1U, CountOut());
  mLines.mDisturbances = { { Kind::Cut, 0, kAck, kAck + 5500 } };
  CHECK_EQUAL(0U, CountOut());
}

// Guards against a judge that misses requests which all nodes together send
// beyond a cold target's rate, or that counts those of a warm one.
TEST(EmulatorZones, JudgeNamesMoreRequestsThanAColdTargetTolerates)
{
  for (int64_t n = 0; n < 50; ++n) {
    Arrive("z", kBack + n, false);
  }
  for (int64_t n = 0; n < 11; ++n) {
    Arrive("z", kBack + 90 * n, true);
  }
  CHECK_EQUAL(0U, CountCold());
  Arrive("z", kBack + 1000, true); // the first is a second ago
  CHECK_EQUAL(0U, CountCold());
  Arrive("z", kBack + 1001, true);
  CHECK_EQUAL(1U, CountCold());
}

// Guards against older scenarios that change with the new keys.
TEST(EmulatorZones, AreOffByDefaultAndDrawnWithTheirKeys)
{
  std::vector<LineError> errors;
  const auto count = [&errors](std::string_view aText) {
    size_t n = 0;
    for (const Fault& it : DrawFaults(ParseScenario(aText, errors))) {
      n += it.mKind == FaultKind::ZoneOut ? 1 : 0;
    }
    return n;
  };
  CHECK_EQUAL(0U, count(""));
  CHECK_EQUAL(3U, count("[zones]\nwith_targets = 2\nouts = 3\n"));
  CHECK(errors.empty());
  (void)ParseScenario("[zones]\nwith_targets = 0\n", errors);
  CHECK_EQUAL(1U, errors.size());
}
