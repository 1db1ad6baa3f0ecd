#include "core/responsehead.h"
#include "seedcount.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace hibiscushold;

namespace {

/// @return the head at the start of the text, nothing if it isn't complete, or
///         ReplyInvalid
Result<std::optional<ResponseHead>>
Parse(const std::string& aText, bool aIsBodyless = false)
{
  ResponseHeadParser parser(aIsBodyless);
  for (const char it : aText) {
    BOOST_OUTCOME_TRY(isComplete, parser.Add(it));
    if (isComplete) {
      return std::optional(parser.Head());
    }
  }
  return std::optional<ResponseHead>();
}

std::string
WithField(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\n" + aLine + "\r\n\r\n";
}

std::string
WithStatusLine(const std::string& aLine)
{
  return aLine + "\r\nContent-Length: 0\r\n\r\n";
}

/// Heads that are no response.
std::vector<std::string>
InvalidHeads()
{
  std::vector<std::string> heads;
  for (const char* it :
       { "HTTP/1.1 000 X",    "HTTP/1.1 0 X",      "HTTP/1.1 001 X",
         "HTTP/1.1 099 X",    "HTTP/1.1 20 X",     "HTTP/1.1 -20 X",
         "HTTP/1.1 +20 X",    "HTTP/1.1 2 0 X",    "HTTP/1.1 600 X",
         "HTTP/1.1 999 X",    "HTTP/1.1 2000 X",   "HTTP/1.1 20x X",
         "HTTP/1.1  200 X",   "HTTP/1.1\t200 X",   "HTTP/1.1 101 X",
         "HTTP/0.9 200 X",    "HTTP/2.0 200 X",    "HTTP/1.2 200 X",
         "HTTP/1 200 X",      "HTTP/11 200 X",     "http/1.1 200 X",
         "ICY 200 X",         "XTTP/1.1 200 X",    " HTTP/1.1 200 X",
         "HTTP/1.1 200 \x01", "HTTP/1.1 200 a\rb", "HTTP/1.1 200\tX",
         "HTTP/1.1 200 \x7f", "HTTP/1.1",          "" }) {
    heads.push_back(WithStatusLine(it));
  }
  for (const char* it :
       { "no colon",
         ": no name",
         "Na me: x",
         "Name : x",
         "Name\t: x",
         " Name: x",
         "\tName: x",
         "Na\tme: x",
         "Na\vme: x",
         "Na\x01me: x",
         "Na\x7fme: x",
         "Na\rme: x",
         "Na\"me: x",
         "Na/me: x",
         "Na\xc3\xa4me: x",
         "Name: a\x01b",
         "Name: a\rb",
         "Name: a\x7f",
         "Content-Length: +2",
         "Content-Length: -2",
         "Content-Length: 0x2",
         "Content-Length: 2 ;",
         "Content-Length: 2, 2",
         "Content-Length:",
         "Content-Length: 99999999999999999999",
         "Content-Length : 2",
         "Content- Length: 2",
         "Content-\x02Length: 2",
         "Content-Length: 2\r\nContent-Length: 3",
         "Content-Length: 2\r\ncontent-length: 2",
         "Content-Length: 2\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding: gzip",
         "Transfer-Encoding: gzip, chunked",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
         "Transfer-Encoding: identity" }) {
    heads.push_back(WithField(it));
  }
  heads.push_back(WithField(std::string("Na\0me: x", 8)));
  heads.push_back(WithField(std::string("Name: a\0b", 9)));
  heads.push_back("HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n");
  heads.push_back("HTTP/1.1 200 X\nId: r1\n\n");
  heads.push_back("HTTP/1.1 200 X\r\nId: r1\n\r\n");
  return heads;
}

struct ValidHead
{
  std::string mText;
  int mStatus;
  BodyFraming mFraming;
  uint64_t mLength = 0;
  bool mKeepsConnection = true;
};

std::vector<ValidHead>
ValidHeads()
{
  return {
    { WithField("Content-Length: 12"), 200, BodyFraming::Length, 12 },
    { WithField("content-length:12"), 200, BodyFraming::Length, 12 },
    { WithField("Content-Length: \t12 \t"), 200, BodyFraming::Length, 12 },
    { WithField("Transfer-Encoding: Chunked"), 200, BodyFraming::Chunked },
    { WithField("X-A:\r\nContent-Length: 0"), 200, BodyFraming::Length },
    { WithField("X: caf\xc3\xa9\tb"), 200, BodyFraming::UntilClose, 0, false },
    { WithField("Connection: a, Close\r\nContent-Length: 1"),
      200,
      BodyFraming::Length,
      1,
      false },
    { "HTTP/1.1 204 No Content\r\n\r\n", 204, BodyFraming::None },
    { "HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",
      304,
      BodyFraming::None,
      9 },
    { "HTTP/1.1 103 Early Hints\r\n\r\n", 103, BodyFraming::None },
    { "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\n",
      200,
      BodyFraming::Length,
      1 },
    { "HTTP/1.1 599\r\nContent-Length: 1\r\n\r\n",
      599,
      BodyFraming::Length,
      1 },
    { "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n",
      200,
      BodyFraming::Length,
      1,
      false },
    { "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\n",
      200,
      BodyFraming::Length,
      1 },
  };
}

/// @return some bytes that are likely to spoil a head, or to look like one
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
                                        "HTTP/",
                                        "1.1 ",
                                        "20",
                                        "0",
                                        "+",
                                        "Content-Length: 5",
                                        "\t",
                                        "-",
                                        ",",
                                        ";",
                                        "x",
                                        "(",
                                        "\xff" };
  std::uniform_int_distribution<size_t> part(0, std::size(kParts) - 1);
  return kParts[part(aRandom)];
}

bool
HasOnlyValidFields(const ResponseHead& aHead)
{
  for (const HttpField& it : aHead.mFields) {
    if (it.mName.empty() || !IsFieldText(it.mValue) ||
        it.mName.find_first_of(std::string(" \t\r\n:\"/\0", 8)) !=
          std::string::npos) {
      return false;
    }
  }
  return aHead.mStatus >= 100 && aHead.mStatus <= 599;
}

} // namespace

TEST_GROUP(ResponseHead){};

// Guards against bytes that are no answer, such as a status 000 or a name with
// a blank or control byte, that are passed on as one.
TEST(ResponseHead, IsRefusedIfItBreaksTheGrammar)
{
  for (const std::string& it : InvalidHeads()) {
    CHECK_TEXT(!Parse(it), it.c_str());
  }
}

// Guards against sound answers that are refused.
TEST(ResponseHead, HasStatusAndFraming)
{
  for (const ValidHead& it : ValidHeads()) {
    const Result<std::optional<ResponseHead>> parsed = Parse(it.mText);
    CHECK_TEXT(parsed && parsed.value(), it.mText.c_str());
    const ResponseHead& head = *parsed.value();
    LONGS_EQUAL_TEXT(it.mStatus, head.mStatus, it.mText.c_str());
    STRCMP_EQUAL_TEXT(
      NameOf(it.mFraming), NameOf(head.mFraming), it.mText.c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(it.mLength, head.mLength, it.mText.c_str());
    CHECK_EQUAL_TEXT(
      it.mKeepsConnection, head.mKeepsConnection, it.mText.c_str());
  }
}

// Guards against a head that is complete before its empty line.
TEST(ResponseHead, IsCompleteWithItsEmptyLineOnly)
{
  for (const ValidHead& it : ValidHeads()) {
    for (size_t n = 0; n < it.mText.size(); ++n) {
      const Result<std::optional<ResponseHead>> parsed =
        Parse(it.mText.substr(0, n));
      CHECK(parsed && !parsed.value());
    }
  }
}

// Guards against a peer that keeps a reader busy with a head without end.
TEST(ResponseHead, IsBounded)
{
  CHECK(!Parse(WithField("X: " + std::string(70000, 'x'))));
  std::string fields;
  for (int n = 0; n < 200; ++n) {
    fields += "X: y\r\n";
  }
  CHECK(!Parse(WithField(fields + "X: y")));
}

TEST(ResponseHead, OfAResponseToHeadHasNoBody)
{
  const auto parsed = Parse(WithField("Content-Length: 12"), true);
  CHECK(BodyFraming::None == parsed.value()->mFraming);
}

// Guards against a head that is spoiled in some other way and passes.
TEST(ResponseHead, HoldsToTheGrammarWhateverArrives)
{
  const std::vector<ValidHead> heads = ValidHeads();
  const uint32_t count = SeedCount();
  for (uint32_t seed = 1; seed <= count; ++seed) {
    std::mt19937 random(seed);
    std::string text = heads[random() % heads.size()].mText;
    for (uint32_t n = random() % 4; n > 0; --n) {
      const size_t at = random() % text.size();
      text.replace(at, random() % 3, RandomBytes(random));
    }
    const Result<std::optional<ResponseHead>> parsed = Parse(text);
    const bool isSound =
      !parsed || !parsed.value() || HasOnlyValidFields(*parsed.value());
    CHECK_TEXT(isSound, ("seed " + std::to_string(seed)).c_str());
  }
}

TEST(ResponseHead, FieldsThatDifferContradictEachOther)
{
  const HttpField fields[] = {
    { "Id", "a" }, { "ID", "a" }, { "X", "1" }, { "x", "2" }
  };
  CHECK(!HasConflict(fields, "id"));
  CHECK(HasConflict(fields, "X"));
  CHECK(!HasConflict(fields, "none"));
  STRCMP_EQUAL("1", FindField(fields, "x").value_or("").c_str());
}
