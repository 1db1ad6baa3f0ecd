#include "serve/requestreader.h"

#include "core/ids.h"

#include "core/tls.h"
#include "serve/httpserver.h"
#include "serve/listen.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr int kThreads = 8;

/// RulesText replaces KEY1 and KEY2 by the SHA-256 of "yard-key" and
/// "gate-key".
const char* const kRules =
  "[accounts]\n"
  "yard = key_sha256:"
  "KEY1  # a\n"
  "gate = key_sha256:"
  "KEY2  # b\n"
  "[services]\n"
  "ledger = targets:pool  # c\n"
  "[routes]\n"
  "confirm = path:/services/ledger/* account:yard to:ledger policy:p  # d\n"
  "[policies]\n"
  "p = idempotent:yes  # e\n";

const char* const kKey = "Authorization: Bearer yard-key\r\n";

struct EdgeCase
{
  std::string mHead; ///< request line and fields, without the last blank line
  std::string mBody;
  int mStatus;
  const char* mExpectedText;
};

std::string
RulesText()
{
  std::string text = kRules;
  text.replace(text.find("KEY1"), 4, Sha256Hex("yard-key"));
  text.replace(text.find("KEY2"), 4, Sha256Hex("gate-key"));
  return text;
}

} // namespace

TEST_GROUP(RequestReader)
{
  SystemClock mClock;
  Settings mSettings;
  ActiveConfigPtr mConfig = CompileConfig(1, RulesText()).value();
  Poco::ThreadPool mThreads{ 2, 2 * kThreads };
  const Poco::Net::ServerSocket mSocket =
    ListenOn({ "127.0.0.1", 0 }, nullptr).value();
  HttpServer mServer{ [this](ServerRequest& aRequest, ResponseWriter& aWriter) {
                       Answer(aRequest, aWriter);
                     },
                      mThreads,
                      mSocket,
                      MakeServerParams(kThreads) };

  void setup() override
  {
    mServer.Start();
  }

  void teardown() override
  {
    const bool cutsRequests = true;
    mServer.Close(cutsRequests);
    mThreads.joinAll();
  }

  void Answer(ServerRequest & aRequest, ResponseWriter & aWriter)
  {
    aWriter.SetKeepsConnection(false);
    ResultOrRefusal<CallerRequest> request =
      ReadRequest(aRequest, "id", mConfig, mSettings, mClock);
    if (request) {
      aWriter.SendComplete(200, {}, "took " + request.value().mBody);
      return;
    }
    aWriter.SendComplete(
      StatusOf(request.error().mKind), {}, RenderRefusal(request.error()));
  }

  /// Sends the bytes, closes the sending side and reads the whole response.
  std::string Exchange(const std::string& aBytes)
  {
    Poco::Net::StreamSocket socket(mSocket.address());
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    socket.shutdownSend();
    std::string response;
    std::array<char, 4096> buf;
    int n = 0;
    while ((n = socket.receiveBytes(buf.data(), buf.size())) > 0) {
      response.append(buf.data(), static_cast<size_t>(n));
    }
    return response;
  }

  void Check(const EdgeCase& aCase)
  {
    const std::string response = Exchange(aCase.mHead + "\r\n" + aCase.mBody);
    const std::string status = "HTTP/1.1 " + std::to_string(aCase.mStatus);
    CHECK_TEXT(response.starts_with(status), (aCase.mHead + response).c_str());
    STRCMP_CONTAINS(aCase.mExpectedText, response.c_str());
  }
};

TEST(RequestReader, RefusesWhatTwoParsersCouldInterpretDifferently)
{
  const std::string post = "POST /services/ledger/x HTTP/1.1\r\nHost: h\r\n";
  const std::string postWithKey = post + kKey;
  const std::string versionAndFields =
    std::string(" HTTP/1.1\r\nHost: h\r\n") + kKey;
  const EdgeCase cases[] = {
    { postWithKey + "Content-Length: 3\r\n", "lot", 200, "took lot" },
    { postWithKey + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "3\r\nlot\r\n0\r\n\r\n",
      400,
      "Transfer-Encoding" },
    { postWithKey + "Transfer-Encoding: chunked\r\n",
      "3\r\nlot\r\n0\r\n\r\n",
      400,
      "Transfer-Encoding" },
    { postWithKey + "Transfer-Encoding: xchunked\r\n",
      "",
      400,
      "Transfer-Encoding" },
    { postWithKey + "Content-Length: 3\r\nContent-Length: 30\r\n",
      "lot",
      400,
      "Content-Length" },
    { postWithKey + "Content-Length: +3\r\n", "lot", 400, "Content-Length" },
    { postWithKey + "Content-Length: 3, 3\r\n", "lot", 400, "Content-Length" },
    { postWithKey + "Content-Length: -1\r\n", "lot", 400, "Content-Length" },
    { postWithKey + "Content-Length: 0x3\r\n", "lot", 400, "Content-Length" },
    { postWithKey + "Content-Length: 99999999999999999999\r\n",
      "lot",
      400,
      "Content-Length" },
    { postWithKey + "Content-Length: 99999999\r\n",
      "lot",
      413,
      "the limit is" },
    { postWithKey + "Content-Length: 30\r\n",
      "lot",
      400,
      "after 3 of 30 bytes" },
    { "GET /services/ledger/../admin" + versionAndFields, "", 400, "path" },
    { "GET /services/ledger/%2E%2e/admin" + versionAndFields, "", 400, "path" },
    { "GET /services/ledger/a%2fb" + versionAndFields, "", 400, "path" },
    { "GET /services//ledger" + versionAndFields, "", 400, "path" },
    { "GET /services/ledger/.." + versionAndFields, "", 400, "path" },
    { "GET http://other/services/ledger/x" + versionAndFields,
      "",
      400,
      "path" },
    { "GET /" + std::string(5000, 'a') + versionAndFields, "", 400, "path" },
  };
  for (const EdgeCase& it : cases) {
    Check(it);
  }
}

TEST(RequestReader, RefusesCallersWithoutAValidKey)
{
  const std::string post = "POST /services/ledger/x HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 0\r\nAuthorization: ";
  const EdgeCase cases[] = {
    { post + "Bearer yard-key\r\n", "", 200, "took" },
    { post + "Bearer yard-kez\r\n", "", 401, "unauthorized" },
    { post + "Bearer \r\n", "", 401, "unauthorized" },
    { post + "Basic yard-key\r\n", "", 401, "unauthorized" },
    { post + "bearer yard-key\r\n", "", 401, "unauthorized" },
    { post + "Bearer gate-key\r\n", "", 404, "from account 'gate'" },
  };
  for (const EdgeCase& it : cases) {
    Check(it);
  }
}

// Guards against a key that is checked in one of two lines while the claim, or
// a target, goes by the other.
TEST(RequestReader, RefusesFieldsThatMustBeOne)
{
  const std::string head = std::string("POST /services/ledger/x HTTP/1.1\r\n"
                                       "Host: h\r\nContent-Length: 0\r\n") +
                           kKey;
  const EdgeCase cases[] = {
    { head + "Authorization: Bearer gate-key\r\n", "", 400, "Authorization" },
    { head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
      "",
      400,
      "Idempotency-Key" },
    { head + "Content-Type: a\r\nContent-Type: b\r\n",
      "",
      400,
      "Content-Type" },
    { head + "Other: a\r\nOther: b\r\n", "", 200, "took" },
  };
  for (const EdgeCase& it : cases) {
    Check(it);
  }
}

TEST(RequestReader, LimitsTheNumberOfFieldsAndTheTimeOfTheBody)
{
  mSettings.mMaxHeaderFields = 4;
  const std::string post = "POST /services/ledger/x HTTP/1.1\r\nHost: h\r\n";
  Check({ post + kKey + "A: 1\r\nB: 2\r\nC: 3\r\n", "", 400, "headers" });
  mSettings.mBodyTimeout = milliseconds(200);
  const std::string slow =
    post + kKey + "Content-Length: 3\r\n\r\nlo"; // the third byte is never sent
  Poco::Net::StreamSocket socket(mSocket.address());
  socket.sendBytes(slow.data(), static_cast<int>(slow.size()));
  std::array<char, 4096> buf;
  const int n = socket.receiveBytes(buf.data(), buf.size());
  CHECK(n > 0);
  STRCMP_CONTAINS("400",
                  std::string(buf.data(), static_cast<size_t>(n)).c_str());
}

TEST(RequestReader, ANodeWithoutRulesRefusesWithoutCheckingKeyOrPath)
{
  mConfig = std::make_shared<const ActiveConfig>();
  Check({ std::string("GET /nowhere HTTP/1.1\r\nHost: h\r\n") + kKey,
          "",
          503,
          "config_not_fresh" });
}
