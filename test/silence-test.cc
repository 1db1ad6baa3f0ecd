#include "callers.h"

using namespace hibiscushold;

namespace {

/// Longer than a test waits for a response.
constexpr auto kDead = milliseconds(60000);

const std::string kNotRun =
  "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP(SilentTarget)
{
  GatewayFixture mGateway;
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
  CheckEvents(mGateway, 3);
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
  CheckEvents(mGateway, 2);
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
  CheckEvents(mGateway, 2);
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
  CheckEvents(mGateway, 2);
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
  CheckEvents(mGateway, 1);
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

// Guards against a stream that stays with a dead target, as a last event of it
// has ended the attempt at the second one.
TEST(SilentTarget, LastEventOfADeadTargetDoesNotKeepItsStream)
{
  ScriptedServer dying({ { StreamHead() + Event(1),
                           false,
                           false,
                           Event(2),
                           milliseconds(1000) } });
  ScriptedServer second(
    { { "", false, false, "", kDead }, { StreamHead() + Event(3) + kEnd } });
  mGateway.AddTarget(dying);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(mGateway, 3);
  CHECK_EQUAL(2U, second.Requests().size());
}

// Guards against streams that stay with a dead target.
TEST(SilentTarget, StreamOfADeadTargetIsResumedAtAnother)
{
  ScriptedServer dead({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { StreamHead() + Event(2) + kEnd } });
  mGateway.AddTarget(dead);
  mGateway.AddTarget(second);
  mGateway.Start();
  CheckEvents(mGateway, 2);
  STRCMP_CONTAINS("Last: 1\r\n", second.Requests()[0].c_str());
  CHECK_EQUAL(1U, dead.Requests().size());
  CHECK_EQUAL(0U, dead.WaitUntilClosed());
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
  CheckEvents(mGateway, 2);
  CHECK_EQUAL(0U, first.WaitUntilClosed());
  CHECK_EQUAL(0U, second.WaitUntilClosed());
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
  CHECK_EQUAL(0U, first.WaitUntilClosed());
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
  CHECK_EQUAL(0U, first.WaitUntilClosed());
  CHECK_EQUAL(0U, second.WaitUntilClosed());
}
