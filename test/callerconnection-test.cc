#include "callers.h"

using namespace hibiscushold;

TEST_GROUP(CallerConnection)
{
  GatewayFixture mGateway;
};

// Guards against a connection that is held longer, or closed earlier, than the
// configured idle time.
TEST(CallerConnection, IdleConnectionIsClosedAfterTheConfiguredTime)
{
  ScriptedServer target({ { Reply("one") } });
  mGateway.AddTarget(target);
  mGateway.mConfig.mLimits.mIdleTimeout = milliseconds(500);
  mGateway.Start();
  Poco::Net::StreamSocket used = mGateway.Connect();
  Send(used, kLookupRequest);
  STRCMP_CONTAINS("Connection: Keep-Alive",
                  GatewayFixture::Receive(used, "one").mBytes.c_str());
  Poco::Net::StreamSocket fresh = mGateway.Connect();
  const TimePoint start = mGateway.mClock.Now();
  CHECK(ReceiveWhole(used).mBytes.empty());
  CHECK(ReceiveWhole(fresh).mBytes.empty());
  const Duration idle = mGateway.mClock.Now() - start;
  CHECK(idle >= milliseconds(500));
  CHECK(idle < milliseconds(3000));
}

// Guards against a request that crosses the close of its connection because the
// idle time was lengthened after the connection was opened.
TEST(CallerConnection, ConnectionIsKeptForTheIdleTimeOfANewConfiguration)
{
  ScriptedServer target({ { Reply("one") }, { Reply("two", "r2") } });
  mGateway.AddTarget(target);
  mGateway.mConfig.mLimits.mIdleTimeout = milliseconds(300);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, kLookupRequest);
  (void)GatewayFixture::Receive(caller, "one");
  mGateway.mConfig.mLimits.mIdleTimeout = milliseconds(4000);
  mGateway.ChangeConfig();
  std::this_thread::sleep_for(milliseconds(2500));
  Send(caller, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r2\r\n\r\n");
  const ReceivedResponse got = GatewayFixture::Receive(caller, "two");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a head that may arrive more slowly than configured.
TEST(CallerConnection, HeadThatStopsArrivingIsGivenUp)
{
  mGateway.mConfig.mLimits.mHeaderTimeout = milliseconds(300);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  const TimePoint start = mGateway.mClock.Now();
  Send(caller, "GET /lookup/x HTTP/1.1\r\nHost: h\r\n");
  CHECK(GatewayFixture::Receive(caller, "no end").mEnded);
  const Duration waited = mGateway.mClock.Now() - start;
  CHECK(waited >= milliseconds(300));
  CHECK(waited < milliseconds(3000));
}

// Guards against a caller that gets no answer to a head that can't be parsed.
TEST(CallerConnection, MalformedHeadIsRefused)
{
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller,
       "GET /lookup/x HTTP/1.1\r\n" + std::string(300, 'n') + ": v\r\n\r\n");
  const ReceivedResponse got = ReceiveWhole(caller);
  STRCMP_CONTAINS("HTTP/1.1 400", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
}

// Guards against a process that exits while it reads a request, which then ends
// without an answer.
TEST(CallerConnection, RequestThatIsBeingReadCountsAsRunning)
{
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, "GET /lookup/x HTTP/1.1\r\nHost: h\r\n");
  for (int n = 0; n < 100 && mGateway.mRunning == 0; ++n) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK_EQUAL(1U, mGateway.mRunning.load());
  Send(caller, "Id: r1\r\n\r\n");
  const ReceivedResponse got = GatewayFixture::Receive(caller, "}}");
  STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
}

// Guards against a request that is read from a kept connection by a process
// that exits before it can answer.
TEST(CallerConnection, ExitingNodeReadsNoFurtherRequest)
{
  ScriptedServer target({ { Reply("one") }, { Reply("two") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, kLookupRequest);
  (void)GatewayFixture::Receive(caller, "one");
  mGateway.mExiting = true;
  Send(caller, kLookupRequest);
  CHECK(GatewayFixture::Receive(caller, "two").mBytes.empty());
  CHECK_EQUAL(1U, target.Requests().size());
}

// Guards against a new caller that isn't served because idle connections occupy
// all threads.
TEST(CallerConnection, NewCallerIsServedBesideManyKeptConnections)
{
  constexpr int kCallers = GatewayFixture::kThreads + 2;
  ScriptedServer target(
    std::vector<ScriptedServer::Response>(kCallers, { Reply("ok") }));
  mGateway.AddTarget(target);
  mGateway.Start();
  std::vector<Poco::Net::StreamSocket> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.push_back(mGateway.Connect());
    Send(callers.back(), kLookupRequest);
    const ReceivedResponse got = GatewayFixture::Receive(callers.back(), "ok");
    STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  }
}

// Guards against a new connection that waits until the next one comes, because
// the thread of one that has just ended still had its place in the pool.
TEST(CallerConnection, NewConnectionIsServedJustAfterAnotherHasEnded)
{
  constexpr int kCallers = 400;
  ScriptedServer target(
    std::vector<ScriptedServer::Response>(kCallers, { Reply("ok") }));
  mGateway.AddTarget(target);
  mGateway.Start();
  std::vector<Poco::Net::StreamSocket> kept;
  for (int n = 0; n < kCallers; ++n) {
    Poco::Net::StreamSocket caller = mGateway.Connect();
    caller.setReceiveTimeout(Poco::Timespan(2, 0));
    Send(caller, kLookupRequest);
    const ReceivedResponse got = GatewayFixture::Receive(caller, "ok");
    STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
    if (n < GatewayFixture::kThreads - 1) {
      kept.push_back(caller);
    }
  }
}

// Guards against a target that works for a caller that has closed its
// connection. A caller that ended only its sending side can't be told from it.
TEST(CallerConnection, CallerThatEndsItsSendingCountsAsGone)
{
  ScriptedServer target(
    { { "", false, false, Reply("late"), milliseconds(3000) } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  const TimePoint start = mGateway.mClock.Now();
  Send(caller, kLookupRequest);
  caller.shutdownSend();
  const ReceivedResponse got = GatewayFixture::Receive(caller, "no end");
  CHECK(got.mEnded || got.mReset);
  CHECK(got.mBytes.empty());
  CHECK(mGateway.mClock.Now() - start < milliseconds(1500));
}
