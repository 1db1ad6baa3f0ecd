#include "callers.h"

using namespace hibiscushold;

namespace {

const std::string kRefusal =
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP(BrokenStream)
{
  GatewayFixture mGateway;

  /// The responses of a second target that are no continuation of a stream
  /// whose first event was forwarded.
  static std::vector<std::string> NoContinuations()
  {
    const std::string body = "id: 2\ndata: error\n\n";
    const auto withBody = [&](const std::string& aStatus,
                              const std::string& aFields) {
      return "HTTP/1.1 " + aStatus + "\r\nId: r1\r\n" + aFields +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body;
    };
    return { withBody("500 Error", "Proof: p\r\n"),
             withBody("503 Busy", "Proof: p\r\n"),
             withBody("503 Busy", "Not-Run: 1\r\n"),
             withBody("404 Not Found", "Proof: p\r\n"),
             withBody("421 Other", "Not-Run: 1\r\n"),
             withBody("200 OK", "Proof: p\r\nContent-Type: text/plain\r\n"),
             withBody("200 OK", "Content-Type: text/event-stream\r\n"),
             withBody("500 Error",
                      "Proof: p\r\nContent-Type: text/event-stream\r\n"),
             kRefusal,
             // Parts of a stream that are no events of it.
             StreamHead() + "d\r\ndata: error\n\n\r\n" + kEnd,
             StreamHead() + "16\r\nHTTP/1.1 500 Error\r\n\r\n\r\n" + kEnd,
             StreamHead() + Event(3) + kEnd };
  }
};

// Guards against the text of an error, or the end of a complete stream, within
// a stream that broke off, if the next target answers with a failure.
TEST(BrokenStream, FailureOfTheNextTargetIsNotForwarded)
{
  for (const std::string& it : NoContinuations()) {
    GatewayFixture gateway;
    ScriptedServer first({ { StreamHead() + Event(1), true } });
    ScriptedServer second({ { it } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got = gateway.Ask(kStreamRequest, kEnd);
    CHECK_TEXT(got.mReset || got.mEnded, it.c_str());
    STRCMP_EQUAL_TEXT(Event(1).c_str(), BodyOf(got.mBytes).c_str(), it.c_str());
    CHECK_EQUAL(1U, second.Requests().size());
  }
}

// Guards against a stream that is lost although a third target can go on.
TEST(BrokenStream, IsResumedAfterAFailureOfTheNextTarget)
{
  for (const std::string& it : NoContinuations()) {
    if (it.find(" 404 ") != std::string::npos ||
        it.find("text/plain") != std::string::npos) {
      continue; // final answers, after which no target is tried
    }
    GatewayFixture gateway;
    ScriptedServer first({ { StreamHead() + Event(1), true } });
    ScriptedServer second({ { it } });
    ScriptedServer third({ { StreamHead() + Event(2) + kEnd } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.AddTarget(third);
    gateway.mConfig.mRoutes[0].mAttempts = 3;
    gateway.mLoads.AvoidUntil("vm-3", gateway.mClock.Now() + milliseconds(300));
    gateway.Start();
    CheckEvents(gateway, 2);
  }
}

// Guards against a whole response, head included, within a stream whose end is
// that of its connection, on which the target also sent something else.
TEST(BrokenStream, AnotherResponseWithinAStreamIsNotForwarded)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  const std::string other =
    "HTTP/1.1 500 Error\r\nId: r0\r\nContent-Length: 7\r\n\r\nerror\n\n";
  ScriptedServer first(
    { { head + "id: 1\n\n", false, false, other, milliseconds(100) } });
  ScriptedServer second({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(mGateway, 2);
}

// Guards against the text of an error at the place of a plain answer, if the
// first target broke off and the second one fails.
TEST(BrokenStream, BrokenPlainAnswerIsReplacedWhole)
{
  const std::string error = "HTTP/1.1 500 Error\r\nId: r1\r\nProof: "
                            "p\r\nContent-Length: 5\r\n\r\nerror";
  ScriptedServer first({ { Reply("answer").substr(0, 60), true } });
  ScriptedServer second({ { error } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "error");
  STRCMP_CONTAINS("HTTP/1.1 500", got.mBytes.c_str());
  STRCMP_EQUAL("error", BodyOf(got.mBytes).c_str());
}

// Guards against a second run of a request that may run once, if its answer
// broke off.
TEST(BrokenStream, BrokenAnswerToAnUnrepeatableRequestIsNotReplaced)
{
  ScriptedServer first({ { Reply("answer").substr(0, 60), true } });
  ScriptedServer second({ { Reply("twice") } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kOrderRequest, "}");
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  CHECK_EQUAL(0U, second.Requests().size());
}
