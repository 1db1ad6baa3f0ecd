#include "callers.h"

using namespace hibiscushold;

namespace {

/// Responses of a target in trouble that are none, with a body as if they were.
/// More of them are rows of ResponseHead.
std::vector<std::string>
NoAnswers()
{
  const auto withHead = [](const std::string& aStatus,
                           const std::string& aFields) {
    return "HTTP/1.1 " + aStatus + "\r\nId: r1\r\nProof: p\r\n" + aFields +
           "\r\n\r\nspoiled";
  };
  return { withHead("000 X", "Content-Length: 7"),
           withHead("999 X", "Content-Length: 7"),
           withHead("200 OK", "Na me: x\r\nContent-Length: 7"),
           withHead("200 OK", "Na\x01me: x\r\nContent-Length: 7"),
           withHead("200 OK", "Content- Length: 7"),
           withHead("200 OK", "Content-\x01Length: 7"),
           withHead("200 OK", "Content-Length: 7\r\nContent-Length: 3"),
           withHead("200 OK", "Content-Length: 7\r\nId: r2") };
}

std::string
AsStream(const std::string& aAnswer)
{
  const size_t at = aAnswer.find("Proof: p\r\n");
  std::string stream = aAnswer;
  return stream.insert(at, "Content-Type: text/event-stream\r\n");
}

void
CheckFailed(const ReceivedResponse& aGot, const std::string& aAnswer)
{
  STRCMP_CONTAINS_TEXT("HTTP/1.1 502", aGot.mBytes.c_str(), aAnswer.c_str());
  STRCMP_CONTAINS_TEXT(
    "\"ran\":\"unknown\"", aGot.mBytes.c_str(), aAnswer.c_str());
}

} // namespace

TEST_GROUP(NoAnswer){
  /// Asks a node whose only target answers with these bytes.
  static ReceivedResponse Ask(const std::string& aRequest,
                              const std::string& aAnswer){
    GatewayFixture gateway;
ScriptedServer target({ { aAnswer } });
gateway.AddTarget(target);
gateway.Start();
return gateway.Ask(aRequest, "}");
}
}
;

// Guards against bytes that are no answer and reach the caller as one.
TEST(NoAnswer, ReachesNoCaller)
{
  for (const std::string& it : NoAnswers()) {
    CheckFailed(Ask(kLookupRequest, it), it);
    CheckFailed(Ask(kOrderRequest, it), it);
    CheckFailed(Ask(kStreamRequest, AsStream(it)), it);
  }
}

// Guards against the loss of an answer that another target can give.
TEST(NoAnswer, IsReplacedByAnotherTarget)
{
  for (const std::string& it : NoAnswers()) {
    GatewayFixture gateway;
    ScriptedServer first({ { it } });
    ScriptedServer second({ { Reply("whole") } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
    STRCMP_EQUAL_TEXT("whole", BodyOf(got.mBytes).c_str(), it.c_str());
  }
}

// Guards against a second run of a request that may run once.
TEST(NoAnswer, ToAnUnrepeatableRequestIsNotReplaced)
{
  for (const std::string& it : NoAnswers()) {
    GatewayFixture gateway;
    ScriptedServer first({ { it } });
    ScriptedServer second({ { Reply("twice") } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    CheckFailed(gateway.Ask(kOrderRequest, "}"), it);
    CHECK_EQUAL(0U, second.Requests().size());
  }
}

// Guards against an answer of another target that is given up because bytes of
// a silent one arrive that are no answer.
TEST(NoAnswer, IsNoProgressOfASilentTarget)
{
  const std::vector<std::string> answers = NoAnswers();
  for (const std::string& it : { answers.front(), answers.back() }) {
    GatewayFixture gateway;
    ScriptedServer first({ { "", false, false, it, milliseconds(600) } });
    ScriptedServer second({ { "", false, false, Reply("whole"), kSilence } });
    gateway.AddTarget(first);
    gateway.AddTarget(second);
    gateway.Start();
    const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
    STRCMP_EQUAL_TEXT("whole", BodyOf(got.mBytes).c_str(), it.c_str());
  }
}

// Guards against an interim response that reaches the caller in place of the
// final one.
TEST(NoAnswer, InterimResponsesAreSkipped)
{
  GatewayFixture gateway;
  ScriptedServer target({ { "HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                            Reply("whole") } });
  gateway.AddTarget(target);
  gateway.Start();
  const ReceivedResponse got = gateway.Ask(kLookupRequest, "whole");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_EQUAL("whole", BodyOf(got.mBytes).c_str());
}
