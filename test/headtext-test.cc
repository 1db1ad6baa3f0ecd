#include "scriptedserver.h"

#include "core/headtext.h"
#include "core/http.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

const std::vector<HttpField> kInvalidFields{
  { "Note", "a\r\nX: y" }, { "Note", "a\nb" },       { "Note", "a\rb" },
  { "Note", "a\x01z" },    { "Note", "a\x7f" },      { "Note\r\nX", "y" },
  { "No te", "a" },        { "Note:", "a" },         { "", "a" },
  { "N\xc3\xa9", "a" },    { "Note", { "a\0b", 3 } }
};

} // namespace

TEST_GROUP(HeadText){};

// Guards against a value, whoever made it, that ends its line and adds another
// field or request.
TEST(HeadText, HasNoFieldThatBreaksTheGrammar)
{
  for (const HttpField& it : kInvalidFields) {
    const std::vector<HttpField> fields{ { "A", "b" }, it };
    const Result<std::string> request = RenderRequestHead("GET", "/", fields);
    CHECK_TEXT(!request, it.mValue.c_str());
    CHECK(Error::HeadInvalid == request.error().mError);
    CHECK(!RenderResponseHead("HTTP/1.1", 200, fields));
  }
  for (const char* it : { "", "/a b", "/\r\nX: y", "/\x01", "/#a", "/%4" }) {
    CHECK_TEXT(!RenderRequestHead("GET", it, {}), it);
  }
  CHECK(!RenderRequestHead("GET /x", "/", {}));
  CHECK(!RenderRequestHead("", "/", {}));
}

// Guards against a sound field that is changed or can't be sent.
TEST(HeadText, HasTheBytesOfItsFields)
{
  const std::vector<HttpField> fields{ { "Note", "=?UTF-8?Q?a=0D=0Ab?=" },
                                       { "nOTE", "a\tb \xc3\xa9" },
                                       { "E", "" } };
  const std::string lines =
    "Note: =?UTF-8?Q?a=0D=0Ab?=\r\nnOTE: a\tb \xc3\xa9\r\nE: \r\n\r\n";
  STRCMP_EQUAL(("PUT /a?b=%20 HTTP/1.1\r\n" + lines).c_str(),
               RenderRequestHead("PUT", "/a?b=%20", fields).value().c_str());
  STRCMP_EQUAL(("HTTP/1.0 404 Not Found\r\n" + lines).c_str(),
               RenderResponseHead("HTTP/1.0", 404, fields).value().c_str());
}

// Guards against a control call, such as to another node or to the store, that
// sends a value which holds another call.
TEST(HeadText, ControlCallWithAnInvalidFieldIsNotSent)
{
  const SystemClock clock;
  HttpClient client(clock);
  ScriptedServer server({ { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" } });
  for (const HttpField& it : kInvalidFields) {
    const Result<HttpReply> reply =
      client.Call(server.Address(),
                  { "GET", "/", { it }, {} },
                  clock.Now() + milliseconds(2000));
    CHECK(!reply && Error::HeadInvalid == reply.error().mError);
  }
  CHECK_EQUAL(0U, server.Requests().size());
}
