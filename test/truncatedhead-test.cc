#include "callers.h"

using namespace hibiscushold;

TEST_GROUP(TruncatedHead){
  /// Sends a request to a target that closes its connection after the first
  /// bytes of aResponse, at several places within its head.
  /// @param aCheck gets what the caller received
  template<class Check>
  void AskAtEachCut(const std::string& aRequest,
                    const std::string& aResponse,
                    Check aCheck){
    const size_t end = aResponse.find("\r\n\r\n");
for (const char* it : { "HTTP/1.1 200 OK",
                        "\r\nId: r1",
                        "\r\nId: r1\r\n",
                        "\r\nProof: p",
                        "\r\nProof: p\r\n",
                        "Content",
                        "\r\n\r\n" }) {
  GatewayFixture gateway;
  // The last row ends just before the empty line.
  const size_t at = aResponse.find(it);
  const size_t cut = at == end ? end + 2 : at + std::string(it).size();
  ScriptedServer target({ { aResponse.substr(0, cut), true } });
  gateway.AddTarget(target);
  gateway.Start();
  aCheck(gateway.Ask(aRequest, "}"));
}
}

static void
CheckFailed(const ReceivedResponse& aGot)
{
  STRCMP_CONTAINS("HTTP/1.1 502", aGot.mBytes.c_str());
  STRCMP_CONTAINS("\"ran\":\"unknown\"", aGot.mBytes.c_str());
}
}
;

// Guards against an answer whose head is cut off and that reaches the caller as
// a whole one without a body.
TEST(TruncatedHead, PlainAnswerIsNotWhole)
{
  AskAtEachCut(kLookupRequest, Reply("body"), CheckFailed);
}

// Guards against the same for a request that may run once: its caller must
// learn that it may have run.
TEST(TruncatedHead, AnswerToAnUnrepeatableRequestIsNotWhole)
{
  AskAtEachCut(kOrderRequest, Reply("body"), CheckFailed);
}

// Guards against a stream whose head is cut off and that reaches the caller as
// a complete one without events.
TEST(TruncatedHead, StreamIsNotWhole)
{
  AskAtEachCut(kStreamRequest, StreamHead() + Event(1) + kEnd, CheckFailed);
}

// Guards against a stream that ends as complete because the head of the target
// that resumes it is cut off.
TEST(TruncatedHead, ResumedStreamIsNotWhole)
{
  for (const std::string& it : { StreamHead().substr(0, 38),
                                 std::string("HTTP/1.1 200 OK\r\nId: r1\r\n"
                                             "Proof: p\r\nContent-Type: "
                                             "text/event-stream\r\n") }) {
    GatewayFixture gateway;
    ScriptedServer first({ { StreamHead() + Event(1), true } });
    ScriptedServer second({ { it, true } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got = gateway.Ask(kStreamRequest, kEnd);
    STRCMP_EQUAL(Event(1).c_str(), BodyOf(got.mBytes).c_str());
    CHECK_EQUAL(1U, second.Requests().size());
  }
}

// Guards against the loss of an answer that another target can give.
TEST(TruncatedHead, RepeatableRequestIsSentToAnotherTarget)
{
  GatewayFixture gateway;
  ScriptedServer first({ { Reply("").substr(0, 38), true } });
  ScriptedServer second({ { Reply("whole") } });
  gateway.AddTarget(first);
  gateway.AddTarget(second);
  gateway.Start();
  const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
  STRCMP_EQUAL("whole", BodyOf(got.mBytes).c_str());
}

// Guards against a whole answer without a length that is taken for a cut off
// one.
TEST(TruncatedHead, AnswerThatEndsWithItsConnectionIsWhole)
{
  GatewayFixture gateway;
  ScriptedServer target(
    { { "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\nwhole", true },
      { "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\n", true } });
  gateway.AddTarget(target);
  gateway.Start();
  const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
  STRCMP_EQUAL("whole", BodyOf(got.mBytes).c_str());
  const ReceivedResponse empty = gateway.Ask(kOrderRequest, "\r\n\r\n");
  STRCMP_CONTAINS("HTTP/1.1 200", empty.mBytes.c_str());
}
