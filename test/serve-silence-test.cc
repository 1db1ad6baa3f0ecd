#include "dispatcherfixture.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Silence of a target that goes on afterwards; several times the limits.
constexpr auto kSilence = milliseconds(700);
/// Longer than a test waits for a response.
constexpr auto kDead = milliseconds(60000);

/// @param aResumeFrom number of events that precede this response
std::string
StreamHead(int aResumeFrom = 0)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
         "Content-Type: text/event-stream\r\nX-Resume-From: " +
         std::to_string(aResumeFrom) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// @return one chunk with the event of this number, which must have one digit
std::string
Event(int aNumber)
{
  return "9\r\ndata: " + std::to_string(aNumber) + "\n\n\r\n";
}

const std::string kEnd = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

std::string
Reply(const std::string& aBody, const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus +
         "\r\nX-Attempt-Id: {attempt}\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

const std::string kNotRun = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: {attempt}\r\n"
                            "X-Ran: no\r\nContent-Length: 0\r\n\r\n";

/// @return a response that is sent as a whole after a silence
ScriptedServer::Response
Late(const std::string& aBytes)
{
  return { "", false, false, aBytes, kSilence };
}

/// @return a stream that pauses after its first event
ScriptedServer::Response
PausedStream(int aEvents)
{
  std::string rest;
  for (int n = 2; n <= aEvents; ++n) {
    rest += Event(n);
  }
  return { StreamHead() + Event(1), false, false, rest + kEnd, kSilence };
}

/// @return an address that refuses connections
Endpoint
UnreachableAddress()
{
  const Poco::Net::ServerSocket socket(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  return { "127.0.0.1", socket.address().port() };
}

} // namespace

TEST_GROUP(ServeSilence)
{
  DispatcherFixture mFixture;
  CollectingSink mSink;

  ResultOrRefusal<Dispatcher::Response> Ask(bool aStream)
  {
    return mFixture.mDispatcher.Run(mFixture.MakeRequest(aStream), mSink);
  }

  void CheckEvents(int aLast)
  {
    const ResultOrRefusal<Dispatcher::Response> response = Ask(true);
    std::string expected;
    for (int n = 1; n <= aLast; ++n) {
      expected += "data: " + std::to_string(n) + "\n\n";
    }
    STRCMP_EQUAL("", response ? "" : response.error().mMessage.c_str());
    STRCMP_EQUAL((expected + "data: [DONE]\n\n").c_str(),
                 mSink.mEvents.c_str());
  }

  void CheckReply(const std::string& aBody)
  {
    const ResultOrRefusal<Dispatcher::Response> response = Ask(false);
    STRCMP_EQUAL("", response ? "" : response.error().mMessage.c_str());
    STRCMP_EQUAL(aBody.c_str(), response.value().mBuffered.mBody.c_str());
  }
};

// Guards against a stream that ends midway because its target is silent and no
// retry is allowed.
TEST(ServeSilence, StreamSurvivesSilenceOfItsOnlyTarget)
{
  ScriptedServer only({ PausedStream(2) });
  mFixture.AddTarget(only.Address());
  CheckEvents(2);
  CHECK_EQUAL(1U, only.Requests().size());
}

// Guards against a stream that is given up before its first event because its
// target is silent and no retry is allowed.
TEST(ServeSilence, StreamWithoutAnEventYetSurvivesSilence)
{
  ScriptedServer only({ Late(StreamHead() + Event(1) + kEnd) });
  mFixture.AddTarget(only.Address());
  CheckEvents(1);
}

// Guards against a lost response to a request that must not run twice, and
// against running it twice.
TEST(ServeSilence, StreamThatMustNotRunTwiceSurvivesSilence)
{
  ScriptedServer first({ PausedStream(2) });
  ScriptedServer second({ { StreamHead(1) + Event(2) + kEnd } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mIdempotent = false;
  mFixture.Policy().mRetries = 2;
  CheckEvents(2);
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(0U, second.Requests().size());
}

// Guards against a second run of a request that must not run twice, after its
// target was silent until the deadline.
TEST(ServeSilence, DeadTargetOfARequestThatMustNotRunTwiceKeepsItsClaim)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { StreamHead(1) + Event(2) + kEnd } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mIdempotent = false;
  mFixture.Policy().mRetries = 2;
  mFixture.Policy().mTimeout = milliseconds(600);
  const ResultOrRefusal<Dispatcher::Response> response = Ask(true);
  CHECK(!response);
  STRCMP_EQUAL("deadline_passed", NameOf(response.error().mKind));
  CHECK(Ran::Unknown == response.error().mRan);
  CHECK(!Ask(true));
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(0U, second.Requests().size());
}

// Guards against a stream that ends midway because the target of its last retry
// is silent.
TEST(ServeSilence, StreamSurvivesSilenceWithItsRetriesUsedUp)
{
  ScriptedServer first({ { StreamHead(), false, true } });
  ScriptedServer second({ PausedStream(2) });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  CheckEvents(2);
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(1U, second.Requests().size());
}

// Guards against a stream that ends midway because its target is silent and the
// retry budget is spent.
TEST(ServeSilence, StreamSurvivesSilenceWithoutRetryBudget)
{
  ScriptedServer first({ PausedStream(2) });
  ScriptedServer second({ { StreamHead(1) + Event(2) + kEnd } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  mFixture.SpendRetryBudget();
  CheckEvents(2);
}

// Guards against a stream that ends midway because the target chosen instead of
// a silent one is silent as well.
TEST(ServeSilence, StreamSurvivesSilenceOfBothTargets)
{
  ScriptedServer first({ PausedStream(3) });
  ScriptedServer second({ { "", false, false, StreamHead(1), kDead } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  CheckEvents(3);
  CHECK_EQUAL(1U, second.Requests().size());
}

// Guards against a stream that ends midway because the target chosen instead of
// a silent one refuses it.
TEST(ServeSilence, StreamSurvivesRefusalByTheSecondTarget)
{
  ScriptedServer first({ PausedStream(2) });
  ScriptedServer second({ { kNotRun } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  CheckEvents(2);
}

// Guards against a stream that ends midway because the target chosen instead of
// a silent one doesn't resume it.
TEST(ServeSilence, StreamSurvivesASecondTargetThatDoesNotResume)
{
  ScriptedServer first({ PausedStream(2) });
  ScriptedServer second({ { StreamHead() + Event(1) + Event(2) + kEnd } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 3;
  CheckEvents(2);
  CHECK_EQUAL(1U, second.Requests().size());
}

// Guards against a stream that ends midway because the target chosen instead of
// a silent one can't be connected.
TEST(ServeSilence, StreamSurvivesAnUnreachableSecondTarget)
{
  ScriptedServer first({ PausedStream(2) });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(UnreachableAddress());
  mFixture.Policy().mRetries = 1;
  CheckEvents(2);
}

// Guards against a lost response to a request on a pooled connection whose
// target is silent and for which no retry is left.
TEST(ServeSilence, ReplyOnAPooledConnectionSurvivesSilenceWithoutRetryBudget)
{
  ScriptedServer only({ { Reply("first") }, Late(Reply("late")) });
  mFixture.AddTarget(only.Address());
  CheckReply("first");
  mFixture.SpendRetryBudget();
  CheckReply("late");
  CHECK_EQUAL(2U, only.Requests().size());
}

// Guards against a lost response to a request on a pooled connection when a new
// connection to the same target is silent as well.
TEST(ServeSilence, ReplyOnAPooledConnectionSurvivesSilenceOfTheNewConnection)
{
  ScriptedServer only({ { Reply("first") }, Late(Reply("late")), { "" } });
  mFixture.AddTarget(only.Address());
  CheckReply("first");
  CheckReply("late");
  CHECK_EQUAL(3U, only.Requests().size());
}

// Guards against a request that waits until its deadline although the silent
// target has answered it with an error status.
TEST(ServeSilence, ErrorStatusOfTheFirstTargetIsPassedOn)
{
  ScriptedServer only(
    { { Reply("first") }, Late(Reply("late", "404 Not Found")), { "" } });
  mFixture.AddTarget(only.Address());
  CheckReply("first");
  CheckReply("late");
}

// Guards against a request that is taken from its second target because the
// silent one refuses it at last.
TEST(ServeSilence, LateRefusalDoesNotEndTheSecondAttempt)
{
  ScriptedServer first({ { "", false, false, kNotRun, kSilence } });
  ScriptedServer second({ { "",
                            false,
                            false,
                            StreamHead() + Event(1) + kEnd,
                            kSilence + milliseconds(500) } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  CheckEvents(1);
}

// Guards against requests that stay with a connection that is dead while its
// target is sound.
TEST(ServeSilence, SilentPooledConnectionIsReplacedAtTheSameTarget)
{
  ScriptedServer only({ { Reply("first") }, { "" }, { Reply("second") } });
  mFixture.AddTarget(only.Address());
  CheckReply("first");
  CheckReply("second");
  CHECK_EQUAL(3U, only.Requests().size());
  STRCMP_CONTAINS("hibiscushold_retries_total{reason=\"connection\"} 1",
                  mFixture.mMetrics.Render().c_str());
}

// Guards against requests that are lost with a pooled connection that the
// target closes.
TEST(ServeSilence, BrokenPooledConnectionIsReplacedAtTheSameTarget)
{
  ScriptedServer only(
    { { Reply("first") }, { "", true, false }, { Reply("second") } });
  mFixture.AddTarget(only.Address());
  CheckReply("first");
  CheckReply("second");
  CHECK_EQUAL(3U, only.Requests().size());
  STRCMP_CONTAINS("hibiscushold_retries_total{reason=\"connection\"} 1",
                  mFixture.mMetrics.Render().c_str());
}

// Guards against streams that stay with a dead target.
TEST(ServeSilence, StreamOfADeadTargetIsResumedAtAnother)
{
  ScriptedServer dead({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { StreamHead(1) + Event(2) + kEnd } });
  mFixture.AddTarget(dead.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  CheckEvents(2);
  STRCMP_CONTAINS("X-Resume-From: 1\r\n", second.Requests()[0].c_str());
  CHECK_EQUAL(1U, dead.Requests().size());
  CHECK_EQUAL(0U, dead.WaitUntilClosed());
}

// Guards against a dead target that keeps a request although others have not
// been tried.
TEST(ServeSilence, StreamOfTwoDeadTargetsIsResumedAtTheThird)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { "" } });
  ScriptedServer third({ { StreamHead(1) + Event(2) + kEnd } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.AddTarget(third.Address());
  mFixture.Policy().mRetries = 3;
  CheckEvents(2);
  CHECK_EQUAL(0U, first.WaitUntilClosed());
  CHECK_EQUAL(0U, second.WaitUntilClosed());
}

// Guards against targets that work for a caller who left while both were
// silent.
TEST(ServeSilence, BothTargetsAreReleasedWhenTheCallerLeaves)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { "" } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  mSink.mIsDisconnected = [&] { return !second.Requests().empty(); };
  CHECK(!Ask(true));
  CHECK_EQUAL(0U, first.WaitUntilClosed());
  CHECK_EQUAL(0U, second.WaitUntilClosed());
}

// Guards against a request that outlives its deadline at silent targets.
TEST(ServeSilence, DeadlineEndsARequestWithTwoDeadTargets)
{
  ScriptedServer first({ { StreamHead() + Event(1) } });
  ScriptedServer second({ { "" } });
  mFixture.AddTarget(first.Address());
  mFixture.AddTarget(second.Address());
  mFixture.Policy().mRetries = 1;
  mFixture.Policy().mTimeout = milliseconds(600);
  const TimePoint start = mFixture.mClock.Now();
  const ResultOrRefusal<Dispatcher::Response> response = Ask(true);
  CHECK(mFixture.mClock.Now() - start < seconds(3));
  CHECK(!response);
  STRCMP_EQUAL("deadline_passed", NameOf(response.error().mKind));
  CHECK(Ran::Unknown == response.error().mRan);
  CHECK_EQUAL(0U, first.WaitUntilClosed());
  CHECK_EQUAL(0U, second.WaitUntilClosed());
}
