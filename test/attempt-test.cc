#include "serve/attempt.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

using Poco::Net::StreamSocket;

/// Behavior of the target after it has read the request.
using Script = std::function<void(StreamSocket&)>;

std::string
Head(const std::string& aFields, int aStatus = 200)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nX-Attempt-Id: a1\r\n" +
         aFields + "\r\n";
}

Script
Respond(const std::string& aText)
{
  return [aText](StreamSocket& aSocket) {
    aSocket.sendBytes(aText.data(), static_cast<int>(aText.size()));
    aSocket.shutdownSend();
  };
}

void
Reset(StreamSocket& aSocket)
{
  aSocket.setLinger(true, 0);
}

/// Keeps the connection open until the client closes it.
void
HoldOpen(StreamSocket& aSocket)
{
  char byte = 0;
  while (aSocket.receiveBytes(&byte, 1) > 0) {
  }
}

void
SendSlowly(StreamSocket& aSocket)
{
  const std::string head = Head("Content-Length: 9999\r\n");
  try {
    aSocket.sendBytes(head.data(), static_cast<int>(head.size()));
    for (;;) {
      aSocket.sendBytes("x", 1);
      std::this_thread::sleep_for(milliseconds(5));
    }
  } catch (const Poco::Exception&) {
    return; // the client closed the connection
  }
}

/// Accepts one connection per script. On each it reads up to the given number
/// of bytes or to the end of the request, and then runs the script.
class RawTarget
{
public:
  RawTarget(size_t aRead, Script aScript)
    : RawTarget(aRead, std::vector<Script>{ std::move(aScript) })
  {
  }

  RawTarget(size_t aRead, std::vector<Script> aScripts)
    : mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this, aRead, scripts = std::move(aScripts)] {
      for (const Script& it : scripts) {
        Serve(aRead, it);
      }
    })
  {
  }

  Endpoint Address() const { return { "127.0.0.1", mSocket.address().port() }; }

private:
  void Serve(size_t aRead, const Script& aScript)
  {
    StreamSocket socket = mSocket.acceptConnection();
    char buf[4096];
    std::string seen;
    while (seen.size() < aRead && seen.find("\r\n\r\nlot") == seen.npos) {
      const int n = socket.receiveBytes(buf, sizeof(buf));
      seen.append(buf, static_cast<size_t>(n));
    }
    aScript(socket);
  }

  Poco::Net::ServerSocket mSocket;
  std::jthread mThread;
};

class Sink final : public AttemptSink
{
public:
  explicit Sink(bool aDisconnected)
    : mDisconnected(aDisconnected)
  {
  }

  bool OnEvent(std::string_view) override { return true; }
  bool IsCallerDisconnected() override { return mDisconnected; }
  bool IsSuperseded() override { return false; }

  bool OnSilence(WaitingAttempt&) override
  {
    return ++mSilences == mSilencesToEnd;
  }

  int mSilences = 0;      ///< calls of OnSilence
  int mSilencesToEnd = 0; ///< the call that ends the attempt; 0 for none

private:
  const bool mDisconnected;
};

constexpr size_t kReadWholeRequest = 1000000;
const std::string kEvent = "data: 1\n\n";
const std::string kSse = "Content-Type: text/event-stream\r\n";
const std::string kSseDone = "data: [DONE]\n\n";

} // namespace

TEST_GROUP(Attempt)
{
  SystemClock mClock;
  SessionPool mPool{ mClock };

  AttemptRequest Request(const Endpoint& aTo, milliseconds aTimeout)
  {
    AttemptRequest request;
    request.mTarget = aTo;
    request.mMethod = "POST";
    request.mPath = "/x";
    request.mBody = "lot";
    request.mAttemptId = "a1";
    request.mDeadline = mClock.Now() + aTimeout;
    return request;
  }
};

TEST(Attempt, EveryResponseIsClassifiedByItsBytes)
{
  struct Row
  {
    const char* mName;
    AttemptOutcome mOutcome;
    Script mScript;
  };
  const std::vector<Row> rows{
    { "complete, by length",
      AttemptOutcome::Answered,
      Respond(Head("Content-Length: 2\r\n") + "ok") },
    { "complete, chunked",
      AttemptOutcome::Answered,
      [](StreamSocket& aSocket) {
        const std::string text =
          Head("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n";
        aSocket.sendBytes(text.data(), static_cast<int>(text.size()));
        HoldOpen(aSocket);
      } },
    { "complete stream",
      AttemptOutcome::Answered,
      Respond(Head(kSse) + kEvent + kSseDone) },
    { "reset before the first byte", AttemptOutcome::Broken, Reset },
    { "closed before the first byte", AttemptOutcome::Broken, Respond("") },
    { "closed in the head", AttemptOutcome::Broken, Respond("HTTP/1.1 20") },
    { "closed before the end of the head",
      AttemptOutcome::Broken,
      Respond("HTTP/1.1 200 X\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n") },
    { "truncated, by length",
      AttemptOutcome::Truncated,
      Respond(Head("Content-Length: 9\r\n") + "ok") },
    { "truncated, chunked",
      AttemptOutcome::Truncated,
      Respond(Head("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n") },
    { "truncated between chunks of a stream",
      AttemptOutcome::Truncated,
      Respond(Head(kSse + "Transfer-Encoding: chunked\r\n") + "9\r\n" + kEvent +
              "\r\n") },
    { "a stream without its terminator",
      AttemptOutcome::Truncated,
      Respond(Head(kSse) + kEvent) },
    { "a stream truncated within an event",
      AttemptOutcome::Truncated,
      Respond(Head(kSse) + "data: [DONE]\n") },
    { "no length and no chunks",
      AttemptOutcome::Truncated,
      Respond(Head("") + "ok") },
    { "status 000",
      AttemptOutcome::Broken,
      Respond(Head("Content-Length: 2\r\n", 0) + "ok") },
    { "a blank in a field's name",
      AttemptOutcome::Broken,
      Respond(Head("Na me: x\r\nContent-Length: 2\r\n") + "ok") },
    { "a control byte in a field's name",
      AttemptOutcome::Broken,
      Respond(Head("Na\x01me: x\r\nContent-Length: 2\r\n") + "ok") },
    { "two lengths",
      AttemptOutcome::Broken,
      Respond(Head("Content-Length: 2\r\nContent-Length: 1\r\n") + "ok") },
    { "two attempt ids",
      AttemptOutcome::Mismatched,
      Respond(Head("X-Attempt-Id: a2\r\nContent-Length: 2\r\n") + "ok") },
    { "response to another attempt",
      AttemptOutcome::Mismatched,
      Respond(
        "HTTP/1.1 200 X\r\nX-Attempt-Id: a2\r\nContent-Length: 0\r\n\r\n") },
    { "not-run mark of another attempt",
      AttemptOutcome::Mismatched,
      Respond("HTTP/1.1 503 X\r\nX-Attempt-Id: a2\r\nX-Ran: no\r\n\r\n") },
    { "a 503 with the not-run mark",
      AttemptOutcome::TargetRefused,
      Respond(Head("X-Ran: no\r\nContent-Length: 0\r\n", 503)) },
    { "a 503 with two marks that differ",
      AttemptOutcome::Answered,
      Respond(Head("X-Ran: no\r\nX-Ran: yes\r\nContent-Length: 0\r\n", 503)) },
    { "a 503 without it",
      AttemptOutcome::Answered,
      Respond(Head("Content-Length: 0\r\n", 503)) },
  };
  for (const Row& row : rows) {
    RawTarget target(kReadWholeRequest, row.mScript);
    SessionPool pool(mClock); // destroyed, and so closed, before the target
    Sink sink(false);
    const AttemptReport report =
      RunAttempt(pool, mClock, Request(target.Address(), seconds(5)), sink);
    STRCMP_EQUAL_TEXT(NameOf(row.mOutcome), NameOf(report.mOutcome), row.mName);
  }
}

TEST(Attempt, AFailureToConnectIsNotRun)
{
  Endpoint closed;
  {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    closed = { "127.0.0.1", socket.address().port() };
  }
  Sink sink(false);
  const AttemptReport report =
    RunAttempt(mPool, mClock, Request(closed, seconds(5)), sink);
  STRCMP_EQUAL("connect_failed", NameOf(report.mOutcome));
  CHECK(Ran::No == RanAfter(report.mOutcome));
}

TEST(Attempt, AConnectThatTimesOutIsNotRun)
{
  Poco::Net::ServerSocket full;
  full.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  full.listen(0);
  const StreamSocket filler(full.address()); // fills the accept queue
  Sink sink(false);
  const AttemptReport report = RunAttempt(
    mPool,
    mClock,
    Request({ "127.0.0.1", full.address().port() }, milliseconds(100)),
    sink);
  STRCMP_EQUAL("connect_failed", NameOf(report.mOutcome));
}

TEST(Attempt, APartlySentRequestMayHaveRun)
{
  RawTarget target(1000, Reset);
  Sink sink(false);
  std::string body;
  body.resize(16000000, 'x');
  AttemptRequest request = Request(target.Address(), seconds(5));
  request.mBody = body;
  const AttemptReport report = RunAttempt(mPool, mClock, request, sink);
  STRCMP_EQUAL("broken", NameOf(report.mOutcome));
  CHECK(Ran::Unknown == RanAfter(report.mOutcome));
}

TEST(Attempt, AnAttemptEndsAtItsDeadline)
{
  for (const Script& script : { Script(HoldOpen), Script(SendSlowly) }) {
    RawTarget target(kReadWholeRequest, script);
    Sink sink(false);
    const AttemptReport report = RunAttempt(
      mPool, mClock, Request(target.Address(), milliseconds(100)), sink);
    STRCMP_EQUAL("timed_out", NameOf(report.mOutcome));
    CHECK(Ran::Unknown == RanAfter(report.mOutcome));
  }
}

// Guards against a silent target that keeps a stream after another one has
// taken over, and against an attempt that ends before.
TEST(Attempt, AStreamWithoutAFirstByteEndsWhenAnotherAttemptTakesOver)
{
  RawTarget target(kReadWholeRequest, HoldOpen);
  Sink sink(false);
  sink.mSilencesToEnd = 3;
  AttemptRequest request = Request(target.Address(), seconds(30));
  request.mExpectStream = true;
  request.mFirstByteTimeout = milliseconds(50);
  const TimePoint start = mClock.Now();
  STRCMP_EQUAL("silent",
               NameOf(RunAttempt(mPool, mClock, request, sink).mOutcome));
  CHECK_EQUAL(3, sink.mSilences);
  CHECK(mClock.Now() - start >= milliseconds(50));
  CHECK(mClock.Now() - start < seconds(10));
}

// Guards against a stream that is given up for its target's silence alone.
TEST(Attempt, AStreamWithoutAFirstByteLastsUntilItsDeadlineOtherwise)
{
  RawTarget target(kReadWholeRequest, HoldOpen);
  Sink sink(false);
  AttemptRequest request = Request(target.Address(), milliseconds(300));
  request.mExpectStream = true;
  request.mFirstByteTimeout = milliseconds(50);
  STRCMP_EQUAL("timed_out",
               NameOf(RunAttempt(mPool, mClock, request, sink).mOutcome));
  CHECK(sink.mSilences > 0);
}

TEST(Attempt, ACallerThatDisconnectsEndsTheAttempt)
{
  RawTarget target(kReadWholeRequest, HoldOpen);
  Sink sink(true);
  AttemptRequest request = Request(target.Address(), seconds(30));
  request.mCancelOnDisconnect = true;
  STRCMP_EQUAL("caller_gone",
               NameOf(RunAttempt(mPool, mClock, request, sink).mOutcome));
}

TEST(Attempt, ABrokenStreamResumesOnlyAtTheRequestedEvent)
{
  const struct
  {
    std::string mResponse;
    AttemptOutcome mOutcome;
  } rows[] = {
    { Head(kSse + "X-Resume-From: 4\r\n") + kEvent + kSseDone,
      AttemptOutcome::Answered },
    { Head(kSse) + kEvent + kSseDone, AttemptOutcome::NotResumed },
    { Head(kSse + "X-Resume-From: 3\r\n") + kEvent + kSseDone,
      AttemptOutcome::NotResumed },
    { Head("Content-Length: 2\r\nX-Resume-From: 4\r\n") + "ok",
      AttemptOutcome::NotResumed },
    { Head("X-Ran: no\r\nContent-Length: 0\r\n", 503),
      AttemptOutcome::TargetRefused },
  };
  for (const auto& row : rows) {
    RawTarget target(kReadWholeRequest, Respond(row.mResponse));
    SessionPool pool(mClock);
    Sink sink(false);
    AttemptRequest request = Request(target.Address(), seconds(5));
    request.mResumeFrom = 4;
    const AttemptReport report = RunAttempt(pool, mClock, request, sink);
    STRCMP_EQUAL(NameOf(row.mOutcome), NameOf(report.mOutcome));
    CHECK_EQUAL(row.mOutcome == AttemptOutcome::Answered ? 2u : 0u,
                report.mEventsForwarded);
  }
}

TEST_GROUP(AttemptOutcome){};

TEST(AttemptOutcome, ALaterAttemptDoesNotUndoThatARequestMayHaveRun)
{
  RequestProgress progress;
  AddAttempt(progress, AttemptOutcome::ConnectFailed, 0);
  AddAttempt(progress, AttemptOutcome::TargetRefused, 0);
  CHECK(Ran::No == progress.WhetherRan());
  AddAttempt(progress, AttemptOutcome::Truncated, 3);
  AddAttempt(progress, AttemptOutcome::Broken, 2);
  AddAttempt(progress, AttemptOutcome::ConnectFailed, 0);
  CHECK(Ran::Unknown == progress.WhetherRan());
  CHECK_EQUAL(5u, progress.mEventsForwarded);
}

TEST(AttemptOutcome, OnlyCertainOutcomesAreNotRun)
{
  const auto ran = [](AttemptFacts aFacts) {
    return RanAfter(ClassifyAttempt(aFacts));
  };
  CHECK(Ran::No == ran({ .mStop = AttemptStop::Failed }));
  CHECK(Ran::No == ran({ .mStop = AttemptStop::Deadline }));
  CHECK(Ran::Unknown ==
        ran({ .mBytesSent = 1, .mStop = AttemptStop::Deadline }));
  CHECK(Ran::Unknown ==
        ran({ .mBytesSent = 1, .mStop = AttemptStop::CallerDisconnected }));
  CHECK(Ran::Unknown == ran({ .mBytesSent = 9,
                              .mHeaderRead = true,
                              .mIdMatches = false,
                              .mHasNotRunMark = true }));
  CHECK(Ran::Yes == ran({ .mBytesSent = 9,
                          .mHeaderRead = true,
                          .mIdMatches = true,
                          .mIsComplete = true }));
}
