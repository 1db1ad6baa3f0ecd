#include "core/http.h"

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
