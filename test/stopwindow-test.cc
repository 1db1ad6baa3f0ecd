#include "gatewayfixture.h"
#include "manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

std::string
Reply(const std::string& aBody)
{
  return "HTTP/1.1 200 x\r\nId: r1\r\nProof: p\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Request(const std::string& aPath, int aWaitMillis)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: " +
         std::to_string(aWaitMillis) + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_GROUP(StopWindow)
{
  ManualClock mClock;
  StopWindow mWindow;

  bool Takes(milliseconds aTimeout, std::optional<Duration> aUsual)
  {
    return MayTake(mWindow, mClock.Now() + aTimeout, aUsual, mClock.Now());
  }

  void Stop(milliseconds aTakeTime, milliseconds aServeTime)
  {
    mWindow.mTakeUntil = mClock.Now() + aTakeTime;
    mWindow.mServeUntil = mClock.Now() + aServeTime;
  }
};

TEST(StopWindow, TakesEverythingWhileTheNodeIsNotStopping)
{
  CHECK(Takes(std::chrono::hours(1), std::nullopt));
}

// Guards against a request that is taken late in a planned stop and cut at its
// end, as its timeout is later.
TEST(StopWindow, TakesWhatEndsInTime)
{
  Stop(milliseconds(2700), milliseconds(7000));
  CHECK(Takes(milliseconds(6000), std::nullopt));
  CHECK(!Takes(milliseconds(8000), std::nullopt));
  CHECK(Takes(milliseconds(8000), milliseconds(900)));
  CHECK(!Takes(milliseconds(8000), milliseconds(7100)));
  mClock.Advance(milliseconds(3000));
  CHECK(Takes(milliseconds(4000), std::nullopt));
  CHECK(!Takes(milliseconds(8000), milliseconds(900)));
}

TEST_GROUP(UsualTimes)
{
  UsualTimes mTimes;
};

TEST(UsualTimes, CoversMostRequestsOfItsRoute)
{
  CHECK(!mTimes.Get("r").has_value());
  for (int n = 0; n < 50; ++n) {
    mTimes.Record("r", milliseconds(n % 2 == 0 ? 400 : 600));
  }
  CHECK(mTimes.Get("r") > milliseconds(600));
  CHECK(mTimes.Get("r") < milliseconds(1200));
  CHECK(!mTimes.Get("q").has_value());
}

TEST_GROUP(PlannedStop)
{
  GatewayFixture mGateway;
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;

  ScriptedServer& AddTarget(std::vector<ScriptedServer::Response> aScript)
  {
    mTargets.push_back(std::make_unique<ScriptedServer>(std::move(aScript)));
    mGateway.AddTarget(*mTargets.back());
    return *mTargets.back();
  }

  TimePoint In(int aMillis) const
  {
    return mGateway.mClock.Now() + milliseconds(aMillis);
  }
};

// Guards against requests that are taken late in the grace time, passed on and
// cut at its end without an answer, among them some that may run once only.
TEST(PlannedStop, SendsElsewhereWhatWouldBeCut)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  mGateway.Start();
  mGateway.Stop(In(2000));
  for (const char* it : { "/order/x", "/lookup/x", "/stream/x" }) {
    const ReceivedResponse got = mGateway.Ask(Request(it, 4000), "}}");
    STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
    STRCMP_CONTAINS("Retry-After: 0.020", got.mBytes.c_str());
    STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
  }
  CHECK(target.Requests().empty());
}

// Guards against a refusal of what would end in time.
TEST(PlannedStop, ServesWhatEndsInTime)
{
  AddTarget({ { Reply("one") } });
  mGateway.Start();
  mGateway.Stop(In(4000));
  const ReceivedResponse got = mGateway.Ask(Request("/order/x", 1000), "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
}

// Guards against a connection that ends without an answer when the process
// exits while a target is still at work.
TEST(PlannedStop, AnswersWhatHasNotEnded)
{
  const ScriptedServer& target =
    AddTarget({ { "", false, false, Reply("one"), milliseconds(5000) } });
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  const std::string request = Request("/order/x", 5000);
  caller.sendBytes(request.data(), static_cast<int>(request.size()));
  for (int n = 0; n < 200 && target.Requests().empty(); ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  const TimePoint end = In(800);
  mGateway.Stop(end);
  const ReceivedResponse got = GatewayFixture::Receive(caller, "}}");
  CHECK(mGateway.mClock.Now() < end + milliseconds(300));
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  CHECK(got.mBytes.find("Retry-After") == std::string::npos);
}
