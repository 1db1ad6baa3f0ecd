#include "requestheads.h"
#include "seedcount.h"

#include "core/requesthead.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr size_t kMaxBytes = 16384;

/// @return the head at the start of the text, nothing if it isn't complete, or
///         the failure
Result<std::optional<RequestHead>>
Parse(const std::string& aText, size_t aMaxBytes = kMaxBytes)
{
  RequestHeadParser parser(aMaxBytes);
  for (const char it : aText) {
    BOOST_OUTCOME_TRY(isComplete, parser.Add(it));
    if (isComplete) {
      return std::optional(parser.TakeHead());
    }
  }
  return std::optional<RequestHead>();
}

RequestHead
ParseSound(const std::string& aText)
{
  Result<std::optional<RequestHead>> parsed = Parse(aText);
  CHECK_TEXT(parsed && parsed.value(), aText.c_str());
  return std::move(*parsed.value());
}

std::string
WithField(const std::string& aLine)
{
  return HeadWith("GET /lookup/x HTTP/1.1", aLine);
}

/// @return some bytes that are likely to spoil a head, or to hold another one
std::string
RandomBytes(std::mt19937& aRandom)
{
  static const std::string kParts[] = { "\r\n",
                                        "\n",
                                        "\r",
                                        " ",
                                        ":",
                                        std::string(1, '\0'),
                                        "\x7f",
                                        "=?UTF-8?Q?a=0D=0Ab?=",
                                        "HTTP/1.1",
                                        "Host: h",
                                        "0",
                                        "+",
                                        "Content-Length: 5",
                                        "Transfer-Encoding: chunked",
                                        "\t",
                                        "%0d%0a",
                                        "%",
                                        ",",
                                        "\r\n\r\nGET /y HTTP/1.1\r\n",
                                        "(",
                                        "\xff" };
  std::uniform_int_distribution<size_t> part(0, std::size(kParts) - 1);
  return kParts[part(aRandom)];
}

constexpr const char* kLetters =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";

bool
HasOnly(const std::string& aText, const std::string& aBytes)
{
  return aText.find_first_not_of(aBytes) == std::string::npos;
}

/// A second reading of the grammar, by lists of bytes.
/// @param aLine of a field, without its end
bool
IsFieldLine(const std::string& aLine)
{
  const size_t colon = aLine.find(':');
  std::string controls = "\x7f";
  for (char it = 0; it < 0x20; ++it) {
    controls += it == '\t' ? "" : std::string(1, it);
  }
  return colon != std::string::npos && colon > 0 &&
         HasOnly(aLine.substr(0, colon),
                 std::string(kLetters) + "!#$%&'*+-.^_`|~") &&
         aLine.find_first_of(controls) == std::string::npos;
}

bool
IsRequestLine(const std::string& aLine)
{
  const size_t from = aLine.find(' ') + 1;
  const size_t end = aLine.find(' ', from);
  if (from == 0 || from == 1 || end == std::string::npos) {
    return false;
  }
  const std::string version = aLine.substr(end);
  return HasOnly(aLine.substr(from, end - from),
                 std::string(kLetters) + "-._~:/?[]@!$&'()*+,;=%") &&
         (version == " HTTP/1.1" || version == " HTTP/1.0");
}

/// @return whether the text is one head, with its empty line at its end only
bool
IsOneHead(std::string aText)
{
  while (aText.starts_with("\r\n")) {
    aText.erase(0, 2);
  }
  bool isFirst = true;
  while (aText != "\r\n") {
    const size_t end = aText.find("\r\n");
    const std::string line = aText.substr(0, end);
    if (end == std::string::npos ||
        !(isFirst ? IsRequestLine(line) : IsFieldLine(line))) {
      return false;
    }
    aText.erase(0, end + 2);
    isFirst = false;
  }
  return !isFirst;
}

} // namespace

TEST_GROUP(RequestHead){};

// Guards against a head that is no request, which a target may read in another
// way, or as several requests.
TEST(RequestHead, IsRefusedIfItBreaksTheGrammar)
{
  for (const std::string& it : MalformedHeads()) {
    const Result<std::optional<RequestHead>> parsed = Parse(it);
    CHECK_TEXT(!parsed, it.c_str());
    CHECK(Error::HeadInvalid == parsed.error().mError);
  }
}

// Guards against a proper request that is refused, and against one of which any
// byte is changed or left out.
TEST(RequestHead, HasTheBytesThatWereSent)
{
  for (const SoundHead& it : SoundHeads()) {
    const RequestHead head = ParseSound(it.Text());
    const std::string start = head.mMethod + " " + head.mUri +
                              (head.mIsHttp10 ? " HTTP/1.0" : " HTTP/1.1");
    STRCMP_EQUAL(it.mFirstLine.c_str(), start.c_str());
    CHECK_EQUAL(it.Text().size(), head.mBytes);
    CHECK_EQUAL(it.mFields.size(), head.mFields.size());
    for (size_t n = 0; n < it.mFields.size(); ++n) {
      STRCMP_EQUAL(it.mFields[n].mName.c_str(), head.mFields[n].mName.c_str());
      STRCMP_EQUAL(it.mFields[n].mValue.c_str(),
                   head.mFields[n].mValue.c_str());
    }
  }
}

// Guards against a body that ends elsewhere for a target than for the node.
TEST(RequestHead, TellsWhereItsBodyEnds)
{
  CHECK(BodyFraming::None == ParseSound(WithField("A: b")).mFraming);
  const RequestHead length = ParseSound(WithField("content-length:\t12 "));
  CHECK(BodyFraming::Length == length.mFraming);
  CHECK_EQUAL(12U, length.mLength);
  CHECK(BodyFraming::Chunked ==
        ParseSound(WithField("Transfer-Encoding: Chunked")).mFraming);
}

// Guards against a connection that is used by one end only.
TEST(RequestHead, TellsWhetherItsConnectionIsKept)
{
  const std::string old = "GET / HTTP/1.0\r\n";
  CHECK(ParseSound(WithField("A: b")).mKeepsConnection);
  CHECK(!ParseSound(WithField("Connection: a, Close")).mKeepsConnection);
  CHECK(!ParseSound(old + "\r\n").mKeepsConnection);
  CHECK(ParseSound(old + "Connection: Keep-Alive\r\n\r\n").mKeepsConnection);
  CHECK(ParseSound(WithField("Expect: 100-Continue")).mExpectsContinue);
}

// Guards against a caller that is refused for an empty line after its last
// body.
TEST(RequestHead, MayFollowEmptyLines)
{
  STRCMP_EQUAL("/lookup/x",
               ParseSound("\r\n\r\n" + WithField("A: b")).mUri.c_str());
  CHECK(!Parse(std::string(kMaxBytes, '\n')));
}

// Guards against a head that is complete before its empty line.
TEST(RequestHead, IsCompleteWithItsEmptyLineOnly)
{
  for (const SoundHead& it : SoundHeads()) {
    const std::string text = it.Text();
    for (size_t n = 0; n < text.size(); ++n) {
      const Result<std::optional<RequestHead>> parsed =
        Parse(text.substr(0, n));
      CHECK(parsed && !parsed.value());
    }
  }
}

// Guards against a caller that fills the node's memory, and against a head
// within the limit that is refused.
TEST(RequestHead, IsBoundedByItsBytesOnly)
{
  std::string fields = "A: " + std::string(9000, 'x');
  while (fields.size() < 14000) {
    fields += "\r\nB: y";
  }
  const std::string head = WithField(fields);
  CHECK(ParseSound(head).mFields.size() > 100);
  CHECK(Parse(head, head.size()).has_value());
  const Result<std::optional<RequestHead>> tooLarge =
    Parse(head, head.size() - 1);
  CHECK(!tooLarge && Error::HeadTooLarge == tooLarge.error().mError);
}

// Guards against a head that is spoiled in some other way and passes, or of
// which the node makes something else than another reader.
TEST(RequestHead, HoldsToTheGrammarWhateverArrives)
{
  const std::vector<SoundHead> heads = SoundHeads();
  const uint32_t count = SeedCount();
  for (uint32_t seed = 1; seed <= count; ++seed) {
    std::mt19937 random(seed);
    std::string text = heads[random() % heads.size()].Text();
    for (uint32_t n = random() % 4; n > 0; --n) {
      const size_t at = random() % text.size();
      text.replace(at, random() % 3, RandomBytes(random));
    }
    const Result<std::optional<RequestHead>> parsed = Parse(text);
    if (!parsed || !parsed.value()) {
      continue;
    }
    const std::string head = text.substr(0, parsed.value()->mBytes);
    CHECK_TEXT(IsOneHead(head),
               ("seed " + std::to_string(seed) + ": " + head).c_str());
  }
}
