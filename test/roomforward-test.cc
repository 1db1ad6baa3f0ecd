#include "callers.h"

using namespace hibiscushold;

namespace {

/// Ten milliseconds a pass, of 2,000 prompt tokens.
constexpr TargetTimes kTimes{ 10, 0, 0, 2000, 20 };
/// Prompt tokens that wait for a second, and for a minute.
constexpr uint64_t kSecondOfTokens = 200'000;
constexpr uint64_t kMinuteOfTokens = 12'000'000;
constexpr size_t kCallers = 40;

const std::string kModelRequest =
  "GET /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nModel: m\r\n"
  "Tokens: 1000,100\r\nRank: 0\r\nConnection: close\r\n\r\n";

} // namespace

TEST_GROUP(RoomForward)
{
  GatewayFixture mGateway;
  ScriptedServer mEngine{ std::vector<ScriptedServer::Response>(
    kCallers, { StreamHead() + Event(1) + kEnd }) };

  void setup() override
  {
    mGateway.AddTarget(mEngine);
    mGateway.SetTargetEngine(0, "m", kTimes);
    mGateway.mConfig.mRoutes[0].mPriority = 2;
    mGateway.Start();
  }

  std::string Ask() const
  {
    return mGateway.Ask(kModelRequest, "none").mBytes;
  }
};

// A caller's own priority is not forwarded.
TEST(RoomForward, EngineIsToldTheRoutesPriority)
{
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  STRCMP_CONTAINS("Rank: 2\r\n", mEngine.Requests().at(0).c_str());
}

// The load: a queue of a second before a target. What would be late is sent,
// and the engine serves others first.
TEST(RoomForward, LateRequestIsDelayedAtItsEngine)
{
  mGateway.mLoads.Begin("vm-1", mGateway.mClock.Now(), kSecondOfTokens);
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  STRCMP_CONTAINS("Rank: 8\r\n", mEngine.Requests().at(0).c_str());
}

// What waits there because it was late itself delays nobody.
TEST(RoomForward, RequestOnTimeGoesBeforeDelayedOnes)
{
  mGateway.mLoads.Begin("vm-1", mGateway.mClock.Now(), kSecondOfTokens, true);
  STRCMP_CONTAINS("HTTP/1.1 200", Ask().c_str());
  STRCMP_CONTAINS("Rank: 2\r\n", mEngine.Requests().at(0).c_str());
}

// The load: a queue that no caller waits through. Most are refused at once, and
// what is refused has not reached the engine.
TEST(RoomForward, HopelessRequestsAreRefusedAtOnceAndHaveNotRun)
{
  mGateway.mLoads.Begin("vm-1", mGateway.mClock.Now(), kMinuteOfTokens);
  const TimePoint start = mGateway.mClock.Now();
  size_t refused = 0;
  for (size_t n = 0; n < kCallers; ++n) {
    const std::string response = Ask();
    if (!response.starts_with("HTTP/1.1 503")) {
      continue;
    }
    ++refused;
    STRCMP_CONTAINS("\"ran\":\"no\"", response.c_str());
    STRCMP_CONTAINS("Retry-After: ", response.c_str());
  }
  CHECK(refused > kCallers / 2);
  CHECK_EQUAL(kCallers - refused, mEngine.Requests().size());
  CHECK(mGateway.mClock.Now() - start < seconds(10));
}
