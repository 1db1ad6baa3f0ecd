#include "core/http.h"

#include "scriptedserver.h"
#include "standin/server.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

TEST_GROUP(Http)
{
  SystemClock mClock;
  HttpClient mClient{ mClock };

  Result<HttpReply> Call(
    const standin::Server& aServer, const char* aPath, Duration aTimeout)
  {
    return mClient.Call(
      aServer.Address(), { "GET", aPath, {}, {} }, mClock.Now() + aTimeout);
  }
};

TEST(Http, EachCallOnAReusedConnectionHasItsOwnDeadline)
{
  const standin::Server server(0, [](auto& aRequest, auto& aResponse) {
    if (standin::PathOf(aRequest) == "/late") {
      std::this_thread::sleep_for(milliseconds(600));
    }
    standin::SendReply(aResponse, 200, "{}");
  });
  CHECK(Call(server, "/", milliseconds(300)).has_value());
  CHECK(Call(server, "/late", seconds(20)).has_value());
  CHECK(Call(server, "/", seconds(20)).has_value());
  CHECK(Error::TimedOut ==
        Call(server, "/late", milliseconds(300)).error().mError);
}

// Guards against a call that fails, and a VM that counts as unresponsive,
// because the pooled connection was closed while it was idle.
TEST(Http, CallDoesNotFailForAClosedIdleConnection)
{
  const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  ScriptedServer server({ { reply, true }, { reply } });
  for (int n = 0; n < 2; ++n) {
    const Result<HttpReply> got =
      mClient.Call(server.Address(),
                   { "GET", "/v1/report", {}, {} },
                   mClock.Now() + milliseconds(1000));
    CHECK(got.has_value());
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Guards against a head without end, from the store, another node or a target
// that is probed, which fills the node's memory until the deadline.
TEST(Http, RejectsAHeadWithTooManyFields)
{
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (int n = 0; n < 1000; ++n) {
    head += "X-" + std::to_string(n) + ": x\r\n";
  }
  ScriptedServer server({ { head } });
  const Result<HttpReply> got = mClient.Call(server.Address(),
                                             { "GET", "/v1/report", {}, {} },
                                             mClock.Now() + milliseconds(1000));
  CHECK(Error::ReplyInvalid == got.error().mError);
}

// Guards against the same for a body.
TEST(Http, RejectsABodyOverItsLimit)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
  ScriptedServer server({ { head + std::string(900, 'x') } });
  HttpRequest request{ "GET", "/v1/report", {}, {} };
  request.mMaxReplyBytes = 999;
  const Result<HttpReply> got =
    mClient.Call(server.Address(), request, mClock.Now() + milliseconds(1000));
  CHECK(Error::ReplyInvalid == got.error().mError);
}

// Guards against a connection that ends without a reply and is reported as if
// the reply had been malformed.
// Guards against a reply of the store that lacks headers, such as that of its
// era, because its head was cut off.
TEST(Http, ReportsAHeadThatIsCutOffAsTruncated)
{
  ScriptedServer server(
    { { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", true } });
  const Result<HttpReply> got = mClient.Call(server.Address(),
                                             { "GET", "/v1/report", {}, {} },
                                             mClock.Now() + milliseconds(1000));
  CHECK(Error::ReplyTruncated == got.error().mError);
}

// Guards against a byte beyond ASCII in a head that is taken for the end of the
// connection where char is signed.
TEST(Http, ReadsBytesBeyondAsciiInAHead)
{
  ScriptedServer server({ { "HTTP/1.1 200 caf\xc3\xa9\r\nX: \xff\r\n"
                            "Content-Length: 2\r\n\r\n{}" } });
  const Result<HttpReply> got = mClient.Call(server.Address(),
                                             { "GET", "/v1/report", {}, {} },
                                             mClock.Now() + milliseconds(1000));
  CHECK(got.has_value());
  STRCMP_EQUAL("\xff", FindField(got.value().mFields, "X")->c_str());
}

// Guards against bytes that are no answer, or an answer whose end isn't marked,
// as a reply of the store, another node or a target that is probed.
TEST(Http, RejectsWhatIsNoReply)
{
  const std::string length = "Content-Length: 2\r\n";
  for (const std::string& it :
       { "HTTP/1.1 000 X\r\n" + length + "\r\n{}",
         "HTTP/1.1 200 OK\r\nNa me: x\r\n" + length + "\r\n{}",
         "HTTP/1.1 200 OK\r\nNa\x01me: x\r\n" + length + "\r\n{}",
         "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n" + length + "\r\n{}",
         std::string("HTTP/1.1 200 OK\r\n\r\n{}") }) {
    ScriptedServer server({ { it, true } });
    const Result<HttpReply> got =
      mClient.Call(server.Address(),
                   { "GET", "/v1/report", {}, {} },
                   mClock.Now() + milliseconds(1000));
    CHECK_TEXT(!got.has_value(), it.c_str());
    CHECK_TEXT(Error::ReplyInvalid == got.error().mError, it.c_str());
  }
}

TEST(Http, ReportsAConnectionThatEndsWithoutAReplyAsTruncated)
{
  ScriptedServer server({ { "", true } });
  const Result<HttpReply> got = mClient.Call(server.Address(),
                                             { "GET", "/v1/report", {}, {} },
                                             mClock.Now() + milliseconds(1000));
  CHECK(Error::ReplyTruncated == got.error().mError);
}
