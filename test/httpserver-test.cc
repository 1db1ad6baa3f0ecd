#include "serve/httpserver.h"

#include "serve/peerport.h"
#include "serve/statusport.h"
#include "standin/server.h"

#include "capturedlog.h"
#include "requestheads.h"

#include "callers.h"

using namespace hibiscushold;

namespace {

constexpr int kThreads = 8;

/// Sends the bytes and reads until the connection ends or six seconds pass.
ReceivedResponse
Ask(const Poco::Net::SocketAddress& aAddress, const std::string& aBytes)
{
  Poco::Net::StreamSocket caller(aAddress);
  caller.setReceiveTimeout(Poco::Timespan(6, 0));
  Send(caller, aBytes);
  return GatewayFixture::Receive(caller, "no end");
}

void
CheckMalformedHeads(const Poco::Net::SocketAddress& aAddress)
{
  for (const std::string& it : MalformedHeads()) {
    const ReceivedResponse got = Ask(aAddress, it);
    STRCMP_CONTAINS_TEXT("HTTP/1.1 400", got.mBytes.c_str(), it.c_str());
    STRCMP_CONTAINS_TEXT("\"invalid_request\"", got.mBytes.c_str(), it.c_str());
    CHECK_TEXT(got.mEnded, it.c_str());
  }
  const ReceivedResponse got = Ask(
    aAddress, HeadWith("GET / HTTP/1.1", "Note: " + std::string(70000, 'n')));
  STRCMP_CONTAINS("HTTP/1.1 431", got.mBytes.c_str());
}

} // namespace

TEST_GROUP(HttpServer)
{
  Poco::ThreadPool mThreads{ 2, 2 * kThreads };
  std::unique_ptr<HttpServer> mServer;
  Poco::Net::SocketAddress mAddress;
  std::atomic<size_t> mHandled{ 0 };

  void Start(RequestHandler aHandler)
  {
    const Poco::Net::ServerSocket socket =
      ListenOn({ "127.0.0.1", 0 }, nullptr).value();
    mAddress = socket.address();
    mServer = std::make_unique<HttpServer>(
      std::move(aHandler), mThreads, socket, MakeServerParams(kThreads));
    mServer->Start();
  }

  /// Answers each request with its body.
  void StartEcho()
  {
    Start([this](ServerRequest& aRequest, ResponseWriter& aWriter) {
      ++mHandled;
      char buf[4096];
      std::string body;
      for (size_t n = aRequest.Body().Read(buf); n > 0;
           n = aRequest.Body().Read(buf)) {
        body.append(buf, n);
      }
      aWriter.SendComplete(200, {}, "got " + body + ".");
    });
  }

  void Close(bool aCutsRequests)
  {
    if (mServer != nullptr) {
      mServer->Close(aCutsRequests);
    }
    mThreads.joinAll();
  }

  void teardown() override
  {
    Close(true);
  }
};

// Guards against a malformed head that a port of other nodes, of operators, of
// the readiness check or of metrics takes for a request.
TEST(HttpServer, MalformedHeadIsRefusedAtEachPort)
{
  const CapturedLog log;
  RpcServer methods;
  Metrics metrics;
  const TokenSet tokens("token-of-this-node");
  Start(MakePeerHandler({ methods, methods, metrics, tokens, tokens }));
  CheckMalformedHeads(mAddress);
  Close(true);
  Start(MakeStatusHandler(
    "/readyz", [] { return true; }, metrics));
  CheckMalformedHeads(mAddress);
  CHECK_EQUAL(2 * (MalformedHeads().size() + 1),
              log.Count("request_unreadable"));
}

// Guards against a stand-in that takes for a request what is none, and so hides
// the fault of a node that sends it.
TEST(HttpServer, StandInIsNoMoreLenientThanANode)
{
  std::atomic<size_t> handled{ 0 };
  standin::Server server(0, [&](auto&, auto& aResponse) {
    ++handled;
    standin::SendReply(aResponse, 200, "{}");
  });
  const Endpoint address = server.Address();
  CheckMalformedHeads({ address.mHost, address.mPort });
  CHECK_EQUAL(0U, handled.load());
}

// Guards against a proper caller that a port refuses.
TEST(HttpServer, SoundHeadIsServed)
{
  StartEcho();
  for (const SoundHead& it : SoundHeads()) {
    Poco::Net::StreamSocket caller(mAddress);
    Send(caller, it.Text());
    const ReceivedResponse got = GatewayFixture::Receive(caller, "got .");
    STRCMP_CONTAINS_TEXT("HTTP/1.1 200", got.mBytes.c_str(), it.Text().c_str());
  }
}

// Guards against the rest of a body that is read as the next request.
TEST(HttpServer, NoRequestFollowsABodyThatWasNotRead)
{
  Start([this](ServerRequest&, ResponseWriter& aWriter) {
    ++mHandled;
    aWriter.SendComplete(200, {}, "got");
  });
  const std::string inner = HeadWith("GET /inner HTTP/1.1", "A: b");
  const ReceivedResponse got =
    Ask(mAddress,
        HeadWith("POST / HTTP/1.1",
                 "Content-Length: " + std::to_string(inner.size())) +
          inner);
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  CHECK(got.mEnded);
  CHECK_EQUAL(1U, mHandled.load());
}

// Guards against requests on one connection that are joined or lost.
TEST(HttpServer, RequestsFollowEachOtherOnAConnection)
{
  StartEcho();
  Poco::Net::StreamSocket caller(mAddress);
  Send(caller,
       HeadWith("POST / HTTP/1.1", "Content-Length: 3") + "one" +
         HeadWith("POST / HTTP/1.1", "Transfer-Encoding: chunked") +
         "3\r\ntwo\r\n0\r\n\r\n\r\n" + HeadWith("GET / HTTP/1.1", "A: b"));
  const std::string got = GatewayFixture::Receive(caller, "got .").mBytes;
  const size_t one = got.find("got one.");
  const size_t two = got.find("got two.");
  CHECK(one != std::string::npos && two != std::string::npos && one < two);
  CHECK_EQUAL(3U, mHandled.load());
}

// Guards against a handler's failure that ends the process, or that a caller
// takes for a whole answer.
TEST(HttpServer, FailureOfAHandlerIsToldToTheCaller)
{
  Start([](ServerRequest& aRequest, ResponseWriter& aWriter) {
    if (aRequest.Head().mUri == "/late") {
      aWriter.StartStream(200, {});
      aWriter.SendChunk("part");
    }
    throw std::runtime_error("no");
  });
  STRCMP_CONTAINS(
    "HTTP/1.1 500",
    Ask(mAddress, HeadWith("GET / HTTP/1.1", "A: b")).mBytes.c_str());
  const ReceivedResponse late =
    Ask(mAddress, HeadWith("GET /late HTTP/1.1", "A: b"));
  CHECK(!late.mBytes.ends_with(kEnd));
}

// Guards against a field that ends its line and adds others, or a response,
// whoever made its value.
TEST(HttpServer, WritesNoControlByteIntoAHead)
{
  Start([](ServerRequest&, ResponseWriter& aWriter) {
    aWriter.SendComplete(200, { { "Note", "a\r\nX: y" } }, "");
  });
  const ReceivedResponse got =
    Ask(mAddress, HeadWith("GET / HTTP/1.1", "A: b"));
  STRCMP_CONTAINS("HTTP/1.1 500", got.mBytes.c_str());
  CHECK(got.mBytes.find("X: y") == std::string::npos);
}

// Guards against a stop that cuts a request, or that waits for an idle
// connection.
TEST(HttpServer, PlannedStopEndsIdleConnectionsAndNoRequest)
{
  std::atomic<bool> isHandling{ false };
  Start([&](ServerRequest&, ResponseWriter& aWriter) {
    isHandling = true;
    std::this_thread::sleep_for(milliseconds(300));
    aWriter.SendComplete(200, {}, "done");
  });
  Poco::Net::StreamSocket idle(mAddress);
  Poco::Net::StreamSocket busy(mAddress);
  idle.setReceiveTimeout(Poco::Timespan(6, 0));
  Send(busy, HeadWith("GET / HTTP/1.1", "A: b"));
  while (!isHandling || mServer->CountConnections() < 2) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  Close(false);
  CHECK(GatewayFixture::Receive(idle, "no end").mEnded);
  STRCMP_CONTAINS("done", GatewayFixture::Receive(busy, "done").mBytes.c_str());
}
