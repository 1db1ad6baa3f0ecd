#include "callers.h"

#include <stdexcept>

using namespace hibiscushold;

namespace {

/// Far longer than the server takes to notice something.
constexpr auto kSettleTime = milliseconds(300);

} // namespace

TEST_GROUP(CallerPort)
{
  GatewayFixture mGateway;

  /// Sends a large body in pieces and reads only afterwards. Fails if the
  /// connection breaks meanwhile, as many callers give up then.
  ReceivedResponse AskSlowly(const std::string& aHead) const
  {
    constexpr int kPieces = 20;
    constexpr size_t kPieceBytes = 20000;
    Poco::Net::StreamSocket caller = mGateway.Connect();
    Send(caller,
         aHead + "Content-Length: " + std::to_string(kPieces * kPieceBytes) +
           "\r\n\r\n");
    try {
      for (int n = 0; n < kPieces; ++n) {
        std::this_thread::sleep_for(milliseconds(20));
        Send(caller, std::string(kPieceBytes, 'x'));
      }
    } catch (const Poco::Exception& e) {
      FAIL(("sending: " + e.displayText()).c_str());
    }
    return ReceiveWhole(caller);
  }

  /// @return whether the target never got a request
  static bool GotNoRequest(const ScriptedServer& aTarget)
  {
    std::this_thread::sleep_for(kSettleTime);
    return aTarget.Requests().empty();
  }
};

// Guards against a whole request that ends without an answer because its
// handling failed, and against a failure that leaves its caller in doubt
// although nothing was sent.
TEST(CallerPort, FailureBeforeTheRequestIsSentIsARefusal)
{
  mGateway.Start();
  mGateway.mBeforeTargets = [] { throw std::runtime_error("broken"); };
  for (const std::string& it : { kLookupRequest, kOrderRequest }) {
    const ReceivedResponse got = mGateway.Ask(it, "}}");
    STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
    STRCMP_CONTAINS("Retry-After", got.mBytes.c_str());
    STRCMP_CONTAINS("\"ran\":\"no\"", got.mBytes.c_str());
  }
}

// Guards against a failure after the request was sent that is reported as if
// the request had not run.
TEST(CallerPort, FailureAfterTheRequestIsSentLeavesOpenWhetherItRan)
{
  ScriptedServer target({ { "", true } });
  mGateway.AddTarget(target);
  mGateway.Start();
  int calls = 0;
  mGateway.mBeforeTargets = [&calls] {
    if (++calls > 1) {
      throw std::runtime_error("broken");
    }
  };
  const ReceivedResponse got = mGateway.Ask(kOrderRequest, "}}");
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.mBytes.c_str());
  CHECK_EQUAL(1U, target.Requests().size());
}

// Guards against bytes that are no part of a started response when its handling
// fails.
TEST(CallerPort, FailureOfTheHandlerCutsAStartedResponse)
{
  ScriptedServer target({ { StreamHead() + Event(1), true } });
  mGateway.AddTarget(target);
  mGateway.Start();
  int calls = 0;
  mGateway.mBeforeTargets = [&calls] {
    if (++calls > 1) {
      throw Poco::RuntimeException("broken");
    }
  };
  const ReceivedResponse got = mGateway.Ask(kStreamRequest, kEnd);
  CHECK(got.mReset || got.mEnded);
  CHECK(got.mBytes.ends_with("id: 1\n\n\r\n"));
}

// Guards against a refusal that is destroyed by the reset that follows when a
// connection is closed with unread bytes of the body.
TEST(CallerPort, RefusalReachesACallerThatIsStillSending)
{
  mGateway.Start();
  const ReceivedResponse got =
    AskSlowly("POST /gone/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n");
  STRCMP_CONTAINS("HTTP/1.1 404", got.mBytes.c_str());
  CHECK(got.mBytes.ends_with("}}"));
}

// Guards against the same on a node that is stopping.
TEST(CallerPort, StoppingNodeRefusesACallerThatIsStillSending)
{
  mGateway.Start();
  mGateway.Stop(mGateway.mClock.Now());
  const ReceivedResponse got =
    AskSlowly("POST /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n");
  STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
  CHECK(got.mBytes.ends_with("}}"));
}

// Guards against the same for a body over the limit.
TEST(CallerPort, RefusalOfALargeBodyReachesACallerThatIsStillSending)
{
  mGateway.mConfig.mLimits.mMaxBodyBytes = 1000;
  mGateway.Start();
  const ReceivedResponse got =
    AskSlowly("POST /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n");
  STRCMP_CONTAINS("HTTP/1.1 413", got.mBytes.c_str());
  CHECK(got.mBytes.ends_with("}}"));
}

// Guards against a refusal that is destroyed although the caller had sent its
// whole request before.
TEST(CallerPort, RefusalReachesACallerThatHasSentItsBody)
{
  mGateway.Start();
  const std::string body(300000, 'x');
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller,
       "POST /gone/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 300000"
       "\r\n\r\n" +
         body);
  std::this_thread::sleep_for(kSettleTime);
  const ReceivedResponse got = ReceiveWhole(caller);
  STRCMP_CONTAINS("HTTP/1.1 404", got.mBytes.c_str());
  CHECK(got.mBytes.ends_with("}}"));
}

// Guards against a chunked body that is forwarded as complete although the
// caller's connection ended within it.
TEST(CallerPort, ChunkedBodyThatIsCutOffIsNotForwarded)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  for (const char* it :
       { "5\r\nhel", "5\r\nhello\r\n", "5\r\nhello", "5\r\nhello\r\n0\r\n" }) {
    Poco::Net::StreamSocket caller = mGateway.Connect();
    Send(caller, Head("Transfer-Encoding: chunked\r\n") + it);
    caller.shutdownSend();
    const ReceivedResponse got = GatewayFixture::Receive(caller, "}}");
    CHECK_TEXT(got.mBytes.find("HTTP/1.1 200") == std::string::npos, it);
  }
  CHECK(GotNoRequest(target));
}

// Guards against a chunked body that is forwarded up to an invalid chunk.
TEST(CallerPort, ChunkedBodyWithAnInvalidChunkIsRefused)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  for (const char* it : { "5\r\nhello\r\nxyz\r\n",
                          "5\r\nhelloX\r\n0\r\n\r\n",
                          "-5\r\nhello\r\n0\r\n\r\n",
                          "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
                          "\r\n5\r\nhello\r\n0\r\n\r\n" }) {
    const ReceivedResponse got =
      mGateway.Ask(Head("Transfer-Encoding: chunked\r\n") + it, "}}");
    CHECK_TEXT(got.mBytes.starts_with("HTTP/1.1 400"), it);
  }
  CHECK(GotNoRequest(target));
}

// Guards against a chunked body that is changed on its way.
TEST(CallerPort, ChunkedBodyWithTrailersIsForwardedWhole)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(
    Head("Transfer-Encoding: chunked\r\n") +
      "5;a=b\r\nhello\r\n6\r\n world\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
    "ok");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("\r\n\r\nhello world", target.Requests()[0].c_str());
  STRCMP_CONTAINS("Content-Length: 11\r\n", target.Requests()[0].c_str());
}

// Guards against a body with a length that is forwarded although it was cut
// off.
TEST(CallerPort, BodyThatIsShorterThanItsLengthIsNotForwarded)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, Head("Content-Length: 10\r\n") + "hello");
  caller.shutdownSend();
  const ReceivedResponse got = GatewayFixture::Receive(caller, "}}");
  STRCMP_CONTAINS("HTTP/1.1 400", got.mBytes.c_str());
  CHECK(GotNoRequest(target));
}

// Guards against callers that wait for the permission to send their body.
TEST(CallerPort, ExpectationIsAnswered)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, Head("Expect: 100-continue\r\nContent-Length: 5\r\n"));
  const ReceivedResponse go = GatewayFixture::Receive(caller, "\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", go.mBytes.c_str());
  Send(caller, "hello");
  const ReceivedResponse got = GatewayFixture::Receive(caller, "ok");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("\r\n\r\nhello", target.Requests()[0].c_str());
}

// Guards against a second request that is lost or answered out of order because
// it was sent before the first was answered.
TEST(CallerPort, RequestSentBeforeTheAnswerOfAnotherIsAnswered)
{
  ScriptedServer target({ { Reply("first") }, { Reply("second", "r2") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  const ReceivedResponse got =
    mGateway.Ask(Head("Content-Length: 1\r\n") + "1" +
                   Head("Content-Length: 1\r\n", "r2") + "2",
                 "second");
  const size_t first = got.mBytes.find("first");
  CHECK(first != std::string::npos);
  CHECK(got.mBytes.find("second") > first);
  STRCMP_CONTAINS("\r\n\r\n1", target.Requests()[0].c_str());
  STRCMP_CONTAINS("\r\n\r\n2", target.Requests()[1].c_str());
}

// Guards against bytes after a body that reach a target, and against a caller
// that gets no answer because of them.
TEST(CallerPort, BytesAfterABodyAreNoRequest)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  const ReceivedResponse got =
    mGateway.Ask(Head("Content-Length: 5\r\n") + "helloGARBAGE\r\n\r\n", "}}");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  CHECK_EQUAL(1U, target.Requests().size());
  CHECK(target.Requests()[0].ends_with("hello"));
}

// Guards against a response to HEAD that has a body or is never complete.
TEST(CallerPort, HeadRequestGetsNoBody)
{
  ScriptedServer target(
    { { "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 9\r\n\r\n" },
      { Reply("next", "r2") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, "HEAD /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n");
  const ReceivedResponse head = GatewayFixture::Receive(caller, "\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 200", head.mBytes.c_str());
  Send(caller, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r2\r\n\r\n");
  const ReceivedResponse next = GatewayFixture::Receive(caller, "next");
  CHECK(next.mBytes.starts_with("HTTP/1.1 200"));
  CHECK(next.mBytes.ends_with("next"));
}

// Guards against a request that is lost because its route is removed while its
// body arrives.
TEST(CallerPort, RequestSurvivesTheRemovalOfItsRoute)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, Head("Content-Length: 5\r\n") + "he");
  std::this_thread::sleep_for(kSettleTime);
  mGateway.mConfig.mRoutes.clear();
  mGateway.ChangeConfig();
  Send(caller, "llo");
  const ReceivedResponse got = GatewayFixture::Receive(caller, "ok");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a request that ends without an answer because its route has no
// service, or a service without targets.
TEST(CallerPort, RouteWithoutServiceIsAnswered)
{
  mGateway.mConfig.mRoutes[1].mShares.clear();
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "}}");
  STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
  const ReceivedResponse stream = mGateway.Ask(kStreamRequest, "}}");
  STRCMP_CONTAINS("HTTP/1.1 503", stream.mBytes.c_str());
}

// Guards against a request on a kept connection that ends without an answer
// while the node stops.
TEST(CallerPort, KeptConnectionIsAnsweredWhileStopping)
{
  ScriptedServer target({ { Reply("one") }, { Reply("two", "r2") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket first = mGateway.Connect();
  Send(first, kLookupRequest);
  STRCMP_CONTAINS("Connection: Keep-Alive",
                  GatewayFixture::Receive(first, "one").mBytes.c_str());
  mGateway.mStopping = true;
  Send(first, "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r2\r\n\r\n");
  const ReceivedResponse got = ReceiveWhole(first);
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
}

// Guards against a body that is forwarded incomplete, or a request that is held
// past its deadline, because the caller stops sending.
TEST(CallerPort, BodyThatStopsArrivingIsRefusedAtTheDeadline)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  for (const char* it :
       { "Content-Length: 20\r\n", "Transfer-Encoding: chunked\r\n" }) {
    const ReceivedResponse got = mGateway.Ask(
      Head(std::string("Wait: 500\r\n") + it) + "5\r\nhello\r\n", "}}");
    CHECK_TEXT(got.mBytes.starts_with("HTTP/1.1 504"), it);
  }
  CHECK(GotNoRequest(target));
}

// Guards against a request that is lost or misread after a chunked body.
TEST(CallerPort, ConnectionIsKeptAfterAChunkedBody)
{
  ScriptedServer target({ { Reply("one") }, { Reply("two", "r2") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, Head("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n\r\n");
  STRCMP_CONTAINS("Connection: Keep-Alive",
                  GatewayFixture::Receive(caller, "one").mBytes.c_str());
  Send(caller,
       Head("Transfer-Encoding: chunked\r\n", "r2") + "1\r\nb\r\n0\r\n\r\n");
  const ReceivedResponse got = GatewayFixture::Receive(caller, "two");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("\r\n\r\nb", target.Requests()[1].c_str());
}

// Guards against a node that runs out of memory as many callers send large
// bodies, and against callers that are told that such a request may have run.
TEST(CallerPort, BodiesBeyondTheRoomForAllAreRefused)
{
  ScriptedServer target({ { Reply("ok") } });
  mGateway.AddTarget(target);
  mGateway.Start();
  const std::string body(1000000, 'x');
  const std::string request =
    Head("Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
  CHECK(mGateway.mBodies.TryTake(GatewayFixture::kMaxBodies - 500000));
  const std::string refused = mGateway.Ask(request, "}}").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
  STRCMP_CONTAINS("Retry-After: 0.250", refused.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", refused.c_str());
  CHECK_EQUAL(0U, target.Requests().size());
  // A small one has room in any case.
  STRCMP_CONTAINS(
    "HTTP/1.1 200",
    mGateway.Ask(Head("Content-Length: 1\r\n") + "x", "ok").mBytes.c_str());
  CHECK_EQUAL(GatewayFixture::kMaxBodies - 500000, mGateway.mBodies.Taken());
}
