#include "callers.h"

using namespace hibiscushold;

namespace {

/// Head of a response whose body ends with its connection.
std::string
OpenHead(const std::string& aFields = "")
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n" + aFields + "\r\n";
}

const std::string kOpenStreamHead =
  OpenHead("Content-Type: text/event-stream\r\n");

/// Time from the first bytes to the reset: none, and enough for another attempt
/// to run beside the first.
constexpr milliseconds kPauses[] = { milliseconds(0), kSilence };

} // namespace

TEST_GROUP(ResetAnswer){
  /// Asks a node whose first target sends bytes and resets its connection after
  /// a pause, while the second one is silent for longer and fails.
  static ReceivedResponse AskReset(const std::string& aRequest,
                                   const std::string& aBytes,
                                   milliseconds aPause){ GatewayFixture gateway;
ScriptedServer first({ { aBytes, false, true, "", aPause } });
ScriptedServer second({ { "", true, false, "", aPause + milliseconds(600) } });
gateway.AddTarget(first);
gateway.AddTarget(second);
gateway.Start();
return gateway.Ask(aRequest, "}");
}
}
;

// Guards against a plain answer without a length that is cut off by a reset and
// reaches the caller as a whole one, as another attempt has peeked at the
// socket and taken its error.
TEST(ResetAnswer, PlainAnswerThatEndsWithItsConnectionIsNotWhole)
{
  for (const milliseconds it : kPauses) {
    const ReceivedResponse got =
      AskReset(kLookupRequest, OpenHead() + "half of", it);
    STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
    STRCMP_CONTAINS("\"ran\":\"unknown\"", got.mBytes.c_str());
  }
}

// Guards against a stream that a reset cuts off and that ends as complete for
// the same reason.
TEST(ResetAnswer, StreamThatEndsWithItsConnectionIsNotComplete)
{
  for (const milliseconds it : kPauses) {
    const ReceivedResponse got =
      AskReset(kStreamRequest, kOpenStreamHead + "id: 1\n\n", it);
    STRCMP_EQUAL(Event(1).c_str(), BodyOf(got.mBytes).c_str());
  }
}

// Guards against an answer that is given up because the reset of a silent
// target's connection counts as the end of its answer.
TEST(ResetAnswer, AnswerOfAnotherTargetIsAwaited)
{
  for (const bool it : { false, true }) {
    const std::string start =
      it ? kOpenStreamHead + "id: 1\n\n" : OpenHead() + "half of";
    GatewayFixture gateway;
    ScriptedServer first({ { start, false, true, "", kSilence } });
    ScriptedServer second(
      { { "",
          false,
          false,
          it ? StreamHead() + Event(2) + kEnd : Reply("whole"),
          kSilence } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got =
      gateway.Ask(it ? kStreamRequest : kLookupRequest, it ? kEnd : "whole");
    STRCMP_EQUAL(it ? (Event(1) + Event(2) + kEnd).c_str() : "whole",
                 BodyOf(got.mBytes).c_str());
  }
}

// Guards against an answer that is given up because a silent target's stream
// ends in order where it can't be complete.
TEST(ResetAnswer, AnswerOfAnotherTargetIsAwaitedWhenAStreamEndsTooEarly)
{
  for (const char* it : { "", "id: 1\n\nid: 2" }) {
    GatewayFixture gateway;
    ScriptedServer first(
      { { kOpenStreamHead + it, true, false, "", kSilence } });
    const std::string rest = *it == '\0' ? Event(1) + Event(2) : Event(2);
    ScriptedServer second(
      { { "", false, false, StreamHead() + rest + kEnd, kSilence } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got = gateway.Ask(kStreamRequest, kEnd);
    STRCMP_EQUAL((Event(1) + Event(2) + kEnd).c_str(),
                 BodyOf(got.mBytes).c_str());
  }
}

// Guards against a late answer, as a long head of a silent target's whole
// answer counts as no progress.
TEST(ResetAnswer, LongHeadOfASilentTargetIsProgress)
{
  GatewayFixture gateway;
  const std::string answer =
    "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nX: " + std::string(6000, 'x') +
    "\r\nContent-Length: 5\r\n\r\nwhole";
  ScriptedServer first({ { "", false, false, answer, kSilence } });
  ScriptedServer second({ { "" } });
  gateway.AddTarget(first);
  gateway.AddTarget(second);
  gateway.Start();
  const TimePoint start = gateway.mClock.Now();
  const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
  STRCMP_EQUAL("whole", BodyOf(got.mBytes).c_str());
  CHECK(gateway.mClock.Now() - start < milliseconds(3000));
}
