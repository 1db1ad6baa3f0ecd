#include "gatewayfixture.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Silence of a target that goes on afterwards; longer than any time after
/// which a target counts as stalled.
constexpr auto kSilence = milliseconds(1200);
/// Longer than a test waits for a response.
constexpr auto kDead = milliseconds(60000);

constexpr const char* kEnd = "0\r\n\r\n";

std::string
StreamHead()
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

/// @return one chunk with the event of this id, which must have one digit
std::string
Event(int aId)
{
  return "7\r\nid: " + std::to_string(aId) + "\n\n\r\n";
}

std::string
Reply(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

const std::string kNotRun =
  "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kStreamRequest =
  "POST /stream/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
const std::string kLookupRequest =
  "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n";

} // namespace

TEST_GROUP(SilentTarget)
{
  GatewayFixture mGateway;

  static void WaitUntilClosed(const ScriptedServer& aServer)
  {
    for (int n = 0; n < 100 && aServer.OpenConnections() > 0; ++n) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_EQUAL(0U, aServer.OpenConnections());
  }

  void CheckEvents(int aLast)
  {
    const ReceivedResponse got = mGateway.Ask(kStreamRequest, kEnd);
    std::string expected;
    for (int n = 1; n <= aLast; ++n) {
      expected += Event(n);
    }
    CHECK(!got.mReset);
    const size_t body = got.mBytes.find("\r\n\r\n");
    CHECK(body != std::string::npos);
    STRCMP_EQUAL((expected + kEnd).c_str(),
                 got.mBytes.substr(body + 4).c_str());
  }
};

// Guards against a started stream that is reset because its second target is
// silent as well.
TEST(SilentTarget, StreamSurvivesSilenceOfBothTargets)
{
  ScriptedServer first({ { StreamHead() + Event(1),
                           false,
                           false,
                           Event(2) + Event(3) + kEnd,
                           kSilence } });
  ScriptedServer second({ { "", false, false, StreamHead(), kDead } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(3);
}

// Guards against a started stream that is reset because its target is silent
// and there is no other.
TEST(SilentTarget, StreamSurvivesSilenceOfItsOnlyTarget)
{
  ScriptedServer only({ { StreamHead() + Event(1),
                          false,
                          false,
                          Event(2) + kEnd,
                          kSilence + milliseconds(1000) } });
  mGateway.AddTarget(only);
  mGateway.Start();
  CheckEvents(2);
}

// Guards against a started stream that is reset because its target is silent
// and the retry budget is spent.
TEST(SilentTarget, StreamSurvivesSilenceWithoutRetryBudget)
{
  ScriptedServer first(
    { { StreamHead() + Event(1), false, false, Event(2) + kEnd, kSilence } });
  ScriptedServer second({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  while (mGateway.mRetryBudget.TryTakeRetry("engines", mGateway.mClock.Now())) {
  }
  CheckEvents(2);
}

// Guards against a started stream that is reset because the target chosen
// instead of a silent one is full.
TEST(SilentTarget, StreamSurvivesRejectionByTheSecondTarget)
{
  ScriptedServer first(
    { { StreamHead() + Event(1), false, false, Event(2) + kEnd, kSilence } });
  ScriptedServer second({ { kNotRun } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(2);
}

// Guards against a 502 for a request whose targets are all silent for a while.
TEST(SilentTarget, RequestWithoutResponseYetSurvivesSilence)
{
  ScriptedServer first({ { "", false, false, StreamHead(), kDead } });
  ScriptedServer second({ { "",
                            false,
                            false,
                            StreamHead() + Event(1) + kEnd,
                            milliseconds(1500) } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(1);
}

// Guards against a 502 for an idempotent request whose silent target answers
// after the one chosen instead was full.
TEST(SilentTarget, IdempotentRequestSurvivesRejectionByTheSecondTarget)
{
  ScriptedServer first({ { "", false, false, Reply("late"), kSilence } });
  ScriptedServer second({ { kNotRun } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "late");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  CHECK(got.mBytes.ends_with("late"));
}

// Guards against streams that stay with a dead target.
TEST(SilentTarget, StreamOfADeadTargetIsResumedAtAnother)
{
  ScriptedServer dead({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(dead);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(2);
  STRCMP_CONTAINS("Last: 1\r\n", second.Requests()[0].c_str());
  CHECK_EQUAL(1U, dead.Requests().size());
  WaitUntilClosed(dead);
}

// Guards against a dead target that keeps a request although others have not
// been tried.
TEST(SilentTarget, StreamOfTwoDeadTargetsIsResumedAtTheThird)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { StreamHead() } });
  ScriptedServer third({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.AddTarget(third);
  mGateway.mConfig.mRoutes[0].mAttempts = 3;
  mGateway.Start();
  CheckEvents(2);
  WaitUntilClosed(first);
  WaitUntilClosed(second);
}

// Guards against a target that goes on working on a request after another has
// answered it.
TEST(SilentTarget, IdempotentRequestIsAnsweredOnceAndTheSlowTargetIsReleased)
{
  ScriptedServer first({ { "" } });
  ScriptedServer second({ { Reply("second") } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "second");
  CHECK(got.mBytes.ends_with("second"));
  WaitUntilClosed(first);
}

// Guards against a retry of a request that must not run twice.
TEST(SilentTarget, RequestThatMustNotRunTwiceStaysWithItsTarget)
{
  ScriptedServer first({ { "", false, false, Reply("late"), kSilence } });
  ScriptedServer second({ { Reply("second") } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.mConfig.mRoutes[1].mRetryPolicy = RetryPolicy::AtMostOnce;
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "late");
  CHECK(got.mBytes.ends_with("late"));
  CHECK_EQUAL(0U, second.Requests().size());
}

// Guards against a target that works for a caller who left while another
// target was tried.
TEST(SilentTarget, BothTargetsAreReleasedWhenTheCallerLeaves)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { "" } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  {
    Poco::Net::StreamSocket caller(mGateway.mAddress);
    caller.sendBytes(kStreamRequest.data(),
                     static_cast<int>(kStreamRequest.size()));
    for (int n = 0; n < 400 && second.Requests().empty(); ++n) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_EQUAL(1U, second.Requests().size());
  }
  WaitUntilClosed(first);
  WaitUntilClosed(second);
}
