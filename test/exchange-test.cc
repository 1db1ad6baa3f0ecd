#include "exchangefixture.h"
#include "gateway/eventsplitter.h"

using namespace hibiscushold;

namespace {

std::string
Reply(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nProof: p\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
StreamHead(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId +
         "\r\nProof: p\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

} // namespace

TEST_GROUP_BASE(Exchange, ExchangeFixture){};

TEST(Exchange, ReturnsCompleteResponseAndReusesConnection)
{
  ScriptedServer server({ { Reply("r1", "one") }, { Reply("r1", "two") } });
  ExchangeReport report = Run(server);
  CHECK(ExchangeOutcome::Answered == report.mOutcome);
  STRCMP_EQUAL("one", report.mResponse.mBody.c_str());
  report = Run(server);
  CHECK(report.mReused);
  STRCMP_EQUAL("two", report.mResponse.mBody.c_str());
  STRCMP_CONTAINS("Vm: vm-1\r\n", server.Requests()[0].c_str());
}

TEST(Exchange, ClassifiesInvalidAndIncompleteResponses)
{
  struct Case
  {
    const char* mName;
    ScriptedServer::Response mResponse;
    ExchangeOutcome mOutcome;
  };
  const std::string withoutProof =
    "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
  const std::string encoded = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                              "Content-Encoding: gzip\r\n"
                              "Content-Length: 0\r\n\r\n";
  const std::string truncated = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                                "Content-Length: 9\r\n\r\nabc";
  const std::string notRun = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                             "Content-Length: 0\r\n\r\n";
  const std::string misdirected = "HTTP/1.1 421 Other\r\nId: r1\r\n"
                                  "Content-Length: 0\r\n\r\n";
  const Case cases[] = {
    { "no proof", { withoutProof }, ExchangeOutcome::Invalid },
    { "encoded", { encoded }, ExchangeOutcome::Invalid },
    { "truncated body", { truncated, true }, ExchangeOutcome::Broken },
    { "reset", { truncated, false, true }, ExchangeOutcome::Broken },
    { "not run", { notRun }, ExchangeOutcome::NotRun },
    { "another VM", { misdirected }, ExchangeOutcome::WrongVm },
    { "no HTTP", { "\1\2garbage\r\n\r\n", true }, ExchangeOutcome::Invalid },
    { "closed", { "", true }, ExchangeOutcome::Broken },
    { "no response", { "" }, ExchangeOutcome::Deadline },
  };
  for (const Case& it : cases) {
    ScriptedServer server({ it.mResponse });
    const ExchangeReport report = Run(server);
    STRCMP_EQUAL_TEXT(NameOf(it.mOutcome), NameOf(report.mOutcome), it.mName);
  }
}

TEST(Exchange, SkipsStaleResponseToAnotherRequest)
{
  ScriptedServer server({ { Reply("old", "foreign") + Reply("r1", "own") } });
  const ExchangeReport report = Run(server);
  CHECK(ExchangeOutcome::Answered == report.mOutcome);
  STRCMP_EQUAL("own", report.mResponse.mBody.c_str());
  CHECK(!Run(server, false, milliseconds(50)).mReused);
}

TEST(Exchange, DoesNotReuseConnectionWithExtraResponse)
{
  ScriptedServer server(
    { { Reply("r1", "own") + Reply("r1", "again") }, { Reply("r1", "new") } });
  CHECK(ExchangeOutcome::Answered == Run(server).mOutcome);
  const ExchangeReport report = Run(server);
  CHECK(!report.mReused);
  STRCMP_EQUAL("new", report.mResponse.mBody.c_str());
}

// Guards against an unrepeatable request that is run twice: a late copy of a
// refusal of the previous request, without an id, was taken for its own.
TEST(Exchange, RefusalWithoutIdOnAReusedConnectionDoesNotSayNotRun)
{
  const std::string refusal =
    "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer server(
    { { Reply("r1", "own") }, { refusal + Reply("r1", "next") } });
  CHECK(ExchangeOutcome::Answered == Run(server).mOutcome);
  const ExchangeReport report = Run(server);
  CHECK(report.mReused);
  CHECK(ExchangeOutcome::Invalid == report.mOutcome);
  ScriptedServer first({ { refusal } });
  CHECK(ExchangeOutcome::NotRun == Run(first).mOutcome);
}

TEST(Exchange, ForwardsEventsUntilEndOfStream)
{
  ScriptedServer server({ { StreamHead("r1") + Chunk("id: 1\n\n") +
                            Chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n" } });
  const ExchangeReport report = Run(server, true);
  CHECK(ExchangeOutcome::Answered == report.mOutcome);
  CHECK(report.mStreamed);
  CHECK_EQUAL(2U, report.mLastEvent);
  STRCMP_EQUAL("id: 1\n\nid: 2\ndata: x\n\n", mSink.mEvents.c_str());
}

TEST(Exchange, DoesNotForwardPartialEventOfBrokenStream)
{
  ScriptedServer server(
    { { StreamHead("r1") + Chunk("id: 1\n\nid: 2\nda"), true } });
  const ExchangeReport report = Run(server, true);
  CHECK(ExchangeOutcome::Answered != report.mOutcome);
  CHECK_EQUAL(1U, report.mLastEvent);
  STRCMP_EQUAL("id: 1\n\n", mSink.mEvents.c_str());
}

// Guards against a target that ends before its first event and whose stream,
// which has no length, reaches the caller as a complete one without events.
TEST(Exchange, StreamThatEndsWithItsConnectionBeforeAnEventIsBroken)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  ScriptedServer server({ { head, true },
                          { head + "id: 1\n\n", true },
                          { head + "data: x\n\n", true } });
  CHECK(ExchangeOutcome::Broken == Run(server, true).mOutcome);
  CHECK_EQUAL(0, mSink.mStatus);
  ScriptedServer resumed({ { head, true } });
  const ExchangeReport report = Run(resumed, true, milliseconds(500), 1);
  CHECK(ExchangeOutcome::Broken == report.mOutcome);
  CHECK(ExchangeOutcome::Answered == Run(server, true).mOutcome);
  CHECK(ExchangeOutcome::Answered == Run(server, true).mOutcome);
}

// Guards against the end of an event that is missed because it arrives in
// parts.
TEST(Exchange, EventsAreFoundHoweverTheirBytesArrive)
{
  const std::string events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "id: 3\ndata: c\n\n";
  for (size_t step = 1; step <= events.size(); ++step) {
    EventSplitter splitter(0);
    std::string taken;
    for (size_t at = 0; at < events.size(); at += step) {
      splitter.Add(std::string_view(events).substr(at, step));
      taken += splitter.TakeCompleteEvents();
    }
    STRCMP_EQUAL(events.c_str(), taken.c_str());
    CHECK_EQUAL(0U, splitter.PendingBytes());
    CHECK_EQUAL(3U, splitter.LastId());
  }
}

// Guards against targets that send bytes without end and together fill the
// memory of a node.
TEST(Exchange, ResponsesTogetherKeepTheirBudgetOfMemory)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
  const std::string rest = std::string(1200000, 'x');
  ScriptedServer body(
    { { head + "Content-Length: 99999999999\r\n\r\n" + rest } });
  CHECK(ExchangeOutcome::Invalid == Run(body, false, seconds(5)).mOutcome);
  CHECK_EQUAL(0U, mBuffers.Taken());
  ScriptedServer open({ { head + "\r\n" + rest } });
  CHECK(ExchangeOutcome::Invalid == Run(open, false, seconds(5)).mOutcome);
  CHECK(mBuffers.TryTake(500000));
  ScriptedServer event({ { StreamHead("r1") + "f4240\r\n" + rest } });
  CHECK(ExchangeOutcome::Invalid == Run(event, true, seconds(5)).mOutcome);
  CHECK_EQUAL(500000U, mBuffers.Taken());
}

// Guards against a small response that is refused because large ones wait.
// Guards against a head without end that fills the node's memory until the
// deadline of its request.
TEST(Exchange, RejectsAHeadWithTooManyFields)
{
  std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
  for (int n = 0; n < 1000; ++n) {
    head += "X-" + std::to_string(n) + ": x\r\n";
  }
  ScriptedServer server({ { head } });
  CHECK(ExchangeOutcome::Invalid == Run(server).mOutcome);
}

TEST(Exchange, SmallResponsesNeedNoBudget)
{
  CHECK(mBuffers.TryTake(1000000));
  ScriptedServer server({ { Reply("r1", std::string(60000, 'x')) } });
  CHECK(ExchangeOutcome::Answered == Run(server).mOutcome);
}

TEST(Exchange, RejectsResumedStreamThatSkipsEvents)
{
  ScriptedServer server({ { StreamHead("r1") + Chunk("id: 9\n\n") } });
  const ExchangeReport report = Run(server, true, milliseconds(500), 4);
  CHECK(ExchangeOutcome::Invalid == report.mOutcome);
  STRCMP_EQUAL("", mSink.mEvents.c_str());
}

TEST(Exchange, StopsWhenCallerDisconnects)
{
  ScriptedServer server({ { "" } });
  mSink.mDisconnected = true;
  CHECK(ExchangeOutcome::CallerDisconnected ==
        Run(server, true, seconds(5)).mOutcome);
}

TEST(Exchange, ReportsNoSentBytesWhenConnectFails)
{
  Endpoint unusedAddress;
  {
    const ScriptedServer server({});
    unusedAddress = server.Address();
  }
  const FleetTarget target{ "vm-1", unusedAddress, "a", "", {}, 1 };
  const TimePoint deadline = mClock.Now() + milliseconds(300);
  const ExchangeRequest request{
    target, "GET", "/x",  {},   "", "r1", deadline, deadline, milliseconds(200),
    {},     0,     false, false
  };
  const ExchangeReport report = RunExchange(
    { mPool, mLoads, mBuffers, mReach, mProtocol, mClock }, request, mSink);
  CHECK(ExchangeOutcome::ConnectFailed == report.mOutcome);
  CHECK_EQUAL(0U, report.mSentBytes);
  CHECK_EQUAL(0U, mLoads.Get("vm-1").mInFlight);
}

TEST_GROUP(EventSplitter){};

TEST(EventSplitter, ReturnsOnlyCompleteEvents)
{
  EventSplitter splitter(0);
  splitter.Add("id: 7\r\ndata: a\r\n\r\nid: 8\r\n");
  STRCMP_EQUAL("id: 7\r\ndata: a\r\n\r\n",
               splitter.TakeCompleteEvents().c_str());
  CHECK_EQUAL(7U, splitter.LastId());
  STRCMP_EQUAL("", splitter.TakeCompleteEvents().c_str());
  CHECK(splitter.PendingBytes() > 0);
  splitter.Add("\r\n");
  STRCMP_EQUAL("id: 8\r\n\r\n", splitter.TakeCompleteEvents().c_str());
  CHECK(!splitter.IsOutOfOrder());
}

// Guards against comments that keep a connection alive and are taken for events
// without an id.
TEST(EventSplitter, CommentsNeedNoId)
{
  EventSplitter splitter(0);
  splitter.Add(": wait\n\nid: 1\n\n: wait\n\n\n\nid: 2\n\n");
  (void)splitter.TakeCompleteEvents();
  CHECK(!splitter.IsOutOfOrder());
  splitter.Add("data: x\n\n");
  (void)splitter.TakeCompleteEvents();
  CHECK(splitter.IsOutOfOrder());
  EventSplitter withoutIds(0);
  withoutIds.Add("data: x\n\ndata: y\n\n");
  (void)withoutIds.TakeCompleteEvents();
  CHECK(!withoutIds.IsOutOfOrder());
}

TEST(EventSplitter, DetectsNonConsecutiveIds)
{
  EventSplitter repeated(3);
  repeated.Add("id: 3\n\n");
  (void)repeated.TakeCompleteEvents();
  CHECK(repeated.IsOutOfOrder());
  EventSplitter gap(0);
  gap.Add("id: 1\n\nid: 3\n\n");
  (void)gap.TakeCompleteEvents();
  CHECK(gap.IsOutOfOrder());
}
