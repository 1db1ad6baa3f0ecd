#include "exchangefixture.h"

using namespace hibiscushold;

namespace {

/// A whole answer in one of the framings.
struct FramedAnswer
{
  BodyFraming mFraming;
  bool mStream;
  std::string mText;
};

std::string
AnswerHead(bool aStream, const std::string& aFraming)
{
  const std::string type = aStream ? "Content-Type: text/event-stream\r\n" : "";
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n" + type + aFraming + "\r\n";
}

std::vector<FramedAnswer>
FramedAnswers()
{
  std::vector<FramedAnswer> answers;
  for (const bool it : { false, true }) {
    const std::string body = it ? "id: 1\n\nid: 2\n\n" : "a whole answer";
    answers.push_back(
      { BodyFraming::Length,
        it,
        AnswerHead(it,
                   "Content-Length: " + std::to_string(body.size()) + "\r\n") +
          body });
    answers.push_back({ BodyFraming::Chunked,
                        it,
                        AnswerHead(it, "Transfer-Encoding: chunked\r\n") +
                          Chunk(body.substr(0, 7)) + Chunk(body.substr(7)) +
                          "0\r\n\r\n" });
    answers.push_back(
      { BodyFraming::UntilClose, it, AnswerHead(it, "") + body });
  }
  return answers;
}

/// @return whether the first aCut bytes, followed by the orderly end of their
///         connection, can't be told from a whole answer
bool
SeemsWhole(const FramedAnswer& aAnswer, size_t aCut)
{
  const size_t body = aAnswer.mText.find("\r\n\r\n") + 4;
  if (aAnswer.mFraming != BodyFraming::UntilClose || aCut < body) {
    return false;
  }
  return !aAnswer.mStream ||
         (aCut > body && aAnswer.mText.substr(0, aCut).ends_with("\n\n"));
}

/// Targets end their answers after each byte.
class CutAnswerFixture : public ExchangeFixture
{
public:
  void CheckEachCut(const FramedAnswer& aAnswer, bool aReset)
  {
    std::vector<ScriptedServer::Response> script;
    for (size_t n = 0; n < aAnswer.mText.size(); ++n) {
      script.push_back({ aAnswer.mText.substr(0, n), !aReset, aReset });
    }
    const ScriptedServer server(script);
    for (size_t n = 0; n < aAnswer.mText.size(); ++n) {
      const ExchangeReport report = Run(server, aAnswer.mStream, seconds(5));
      const bool isWhole = !aReset && SeemsWhole(aAnswer, n);
      const std::string text =
        std::string(NameOf(aAnswer.mFraming)) + " cut at " + std::to_string(n);
      CHECK_EQUAL_TEXT(
        isWhole, ExchangeOutcome::Answered == report.mOutcome, text.c_str());
      CHECK_TEXT(ExchangeOutcome::NotRun != report.mOutcome, text.c_str());
    }
  }
};

} // namespace

TEST_GROUP_BASE(CutAnswer, CutAnswerFixture){};

// Guards against an answer that a target ends too early and that seems whole.
// Only a body whose end the connection marks can end in order at any byte.
TEST(CutAnswer, ThatEndsInOrderIsWholeOnlyIfNothingElseMarksItsEnd)
{
  for (const FramedAnswer& it : FramedAnswers()) {
    CheckEachCut(it, false);
  }
}

// Guards against an answer that is cut off by a reset and seems whole.
TEST(CutAnswer, ThatIsResetIsNeverWhole)
{
  for (const FramedAnswer& it : FramedAnswers()) {
    CheckEachCut(it, true);
  }
}
