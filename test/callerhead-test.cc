#include "callers.h"
#include "capturedlog.h"
#include "requestheads.h"

#include "core/number.h"
#include "gateway/peers.h"

#include <algorithm>

using namespace hibiscushold;

namespace {

constexpr size_t kManyRequests = 200;

/// @return the head of the only request that the target got
std::string
OnlyRequest(const ScriptedServer& aTarget)
{
  const std::vector<std::string> requests = aTarget.Requests();
  CHECK_EQUAL(1U, requests.size());
  return requests.front();
}

/// @return the number of empty lines in the text, of which a request without a
///         body has one
size_t
CountEmptyLines(const std::string& aText)
{
  size_t n = 0;
  for (size_t at = aText.find("\r\n\r\n"); at != std::string::npos;
       at = aText.find("\r\n\r\n", at + 4)) {
    ++n;
  }
  return n;
}

std::string
LookupWith(const std::string& aLines)
{
  return HeadWith("GET /lookup/x HTTP/1.1", aLines);
}

} // namespace

TEST_GROUP(CallerHead)
{
  GatewayFixture mGateway;
  ScriptedServer mTarget{ std::vector<ScriptedServer::Response>(
    kManyRequests, { Reply("one") }) };

  void Start()
  {
    mGateway.AddTarget(mTarget);
    mGateway.Start();
  }

  void CheckRefused(const std::string& aHead, const char* aStatus)
  {
    const ReceivedResponse got = mGateway.Ask(aHead, "}}");
    STRCMP_CONTAINS_TEXT(aStatus, got.mBytes.c_str(), aHead.c_str());
    STRCMP_CONTAINS_TEXT("\"ran\":\"no\"", got.mBytes.c_str(), aHead.c_str());
    CHECK_EQUAL_TEXT(0U, mTarget.Requests().size(), aHead.c_str());
  }
};

// Guards against a header whose value is decoded on its way, and then holds a
// request of its own, under an account that the caller has no key of.
TEST(CallerHead, ValueThatLooksEncodedHoldsNoRequestOfItsOwn)
{
  mGateway.mConfig.mHasAccounts = true;
  mGateway.mConfig.mAccountsByKey["key"] = { "own", 0 };
  Start();
  const ReceivedResponse got = mGateway.Ask(
    LookupWith("Authorization: Bearer key\r\nNote: " + EncodedRequest()),
    "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  const std::string request = OnlyRequest(mTarget);
  CHECK_EQUAL(1U, CountEmptyLines(request));
  STRCMP_CONTAINS(("\r\nNote: " + EncodedRequest() + "\r\n").c_str(),
                  request.c_str());
  STRCMP_CONTAINS("\r\nAccount: own\r\n", request.c_str());
  CHECK(request.find("Account: rival") == std::string::npos);
}

// Guards against a proper request that is refused, or of which the target gets
// other bytes than the caller has sent.
TEST(CallerHead, SoundHeadReachesTheTargetAsSent)
{
  Start();
  size_t sent = 0;
  for (const SoundHead& it : SoundHeads()) {
    Poco::Net::StreamSocket caller = mGateway.Connect();
    Send(caller, it.Text());
    (void)GatewayFixture::Receive(caller, "one");
    const std::vector<std::string> requests = mTarget.Requests();
    ++sent;
    CHECK_EQUAL_TEXT(sent, requests.size(), it.Text().c_str());
    const std::string& got = requests.back();
    CHECK_EQUAL_TEXT(1U, CountEmptyLines(got), got.c_str());
    CHECK_TEXT(got.starts_with(it.mFirstLine + "\r\n"), got.c_str());
    for (const HttpField& field : it.mFields) {
      const std::string line =
        "\r\n" + field.mName + ": " + field.mValue + "\r\n";
      STRCMP_CONTAINS(line.c_str(), got.c_str());
    }
  }
}

// Guards against a field that the node reads itself in other bytes than the
// target.
TEST(CallerHead, FieldsThatTheNodeReadsAreNotDecoded)
{
  mGateway.mConfig.mHasAccounts = true;
  mGateway.mConfig.mAccountsByKey["key"] = { "own", 0 };
  Start();
  CheckRefused(LookupWith("Authorization: =?UTF-8?Q?Bearer_key?="),
               "HTTP/1.1 401");
  CheckRefused("GET /lookup/x HTTP/1.1\r\nHost: =?UTF-8?Q?h?=\r\nId: r1\r\n"
               "Authorization: Bearer key\r\n\r\n",
               "HTTP/1.1 400");
}

// Guards against an answer that the target gives to another id than the
// caller's.
TEST(CallerHead, IdIsNotDecoded)
{
  const std::string id = "=?UTF-8?Q?r=31?=";
  ScriptedServer target({ { Reply("one", id) } });
  mGateway.AddTarget(target);
  mGateway.Start();
  const ReceivedResponse got = mGateway.Ask(
    "GET /order/x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n", "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS(("\r\nId: " + id + "\r\n").c_str(),
                  OnlyRequest(target).c_str());
}

// Guards against a malformed head that gets no typed answer, or that reaches a
// target, which may read it in another way.
TEST(CallerHead, MalformedHeadIsRefusedAndReachesNoTarget)
{
  Start();
  const CapturedLog log;
  for (const std::string& it : MalformedHeads()) {
    CheckRefused(it, "HTTP/1.1 400");
  }
  CHECK_EQUAL(MalformedHeads().size(), log.Count("request_unreadable"));
  STRCMP_CONTAINS(
    ("\"invalid_request\"} " + std::to_string(MalformedHeads().size()) + "\n")
      .c_str(),
    mGateway.mMetrics.Render().c_str());
}

// Guards against a head within the configured limit that is refused, and
// against one above it that gets the answer of a malformed one.
TEST(CallerHead, IsLimitedByTheConfiguration)
{
  mGateway.mConfig.mLimits.mMaxHeadBytes = 12000;
  Start();
  const size_t rest = LookupWith("Note: ").size();
  CheckRefused(LookupWith("Note: " + std::string(12001 - rest, 'n')),
               "HTTP/1.1 431");
  const ReceivedResponse got =
    mGateway.Ask(LookupWith("Note: " + std::string(12000 - rest, 'n')), "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a sound head that another node passes on, and that is refused
// for the fields that the other node has added.
TEST(CallerHead, OfAnotherNodeHasRoomForItsFields)
{
  mGateway.mConfig.mLimits.mMaxHeadBytes = 2000;
  Start();
  const std::string peer = std::string(kPeerField) + ": " +
                           mGateway.mPeerTokens.AuthorizationValue() + "\r\n" +
                           kPeerVersionField + ": 1\r\n";
  const ReceivedResponse got =
    mGateway.Ask(LookupWith(peer + "Note: " + std::string(1900, 'n')), "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a field that the node takes once and a target takes from
// another line, or not at all.
TEST(CallerHead, FieldThatMustBeOneIsSentOnce)
{
  Start();
  for (const char* it : { "Id: r1",
                          "id: r2",
                          "Wait: 100\r\nWait: 200",
                          "Model: a\r\nmodel: b",
                          "Last: 1\r\nLast: 2",
                          "Tokens: 1,2\r\nTokens: 3,4",
                          "Authorization: Bearer a\r\nAuthorization: Bearer b",
                          "Connection: Id",
                          "Connection: close, iD",
                          "Model: a\r\nConnection: keep-alive, Model",
                          "Connection: Host",
                          "Parts: a:1\r\nConnection: Parts" }) {
    CheckRefused(LookupWith(it), "HTTP/1.1 400");
  }
}

// Guards against a list in several lines that is refused, or of which a target
// gets a part.
TEST(CallerHead, ListMayHaveSeveralLines)
{
  Start();
  const ReceivedResponse got =
    mGateway.Ask(LookupWith("Parts: a:1\r\nParts: b:2"), "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  const std::string request = OnlyRequest(mTarget);
  STRCMP_CONTAINS("\r\nParts: a:1\r\n", request.c_str());
  STRCMP_CONTAINS("\r\nParts: b:2\r\n", request.c_str());
}

// Guards against a name of the configuration that holds a field of its own, or
// a request.
TEST(CallerHead, AccountOfTheConfigurationHoldsNoField)
{
  mGateway.mConfig.mHasAccounts = true;
  mGateway.mConfig.mAccountsByKey["key"] = { "own\r\nX: y", 0 };
  Start();
  CheckRefused(LookupWith("Authorization: Bearer key"), "HTTP/1.1 503");
}

// Guards against a field of the connection, or of the node itself, that a
// caller has a target see.
TEST(CallerHead, FieldsOfTheNodeAreItsOwn)
{
  Start();
  (void)mGateway.Ask(LookupWith("Account: rival\r\naCCOUNT: rival\r\n"
                                "Vm: vm-9\r\nRank: 0\r\nHop: 1\r\n"
                                "Connection: Hop\r\nTE: trailers"),
                     "one");
  const std::string request = OnlyRequest(mTarget);
  for (const char* it :
       { "rival", "vm-9", "Rank", "Hop", "TE:", "Connection" }) {
    CHECK_TEXT(request.find(it) == std::string::npos, it);
  }
}

// Guards against a caller that holds a connection by sending its head in single
// bytes.
TEST(CallerHead, HasOneDeadlineForAllItsBytes)
{
  mGateway.mConfig.mLimits.mHeaderTimeout = milliseconds(300);
  Start();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  const TimePoint start = mGateway.mClock.Now();
  bool ended = false;
  while (!ended && mGateway.mClock.Now() - start < milliseconds(4000)) {
    try {
      Send(caller, "G");
      ended =
        caller.poll(Poco::Timespan(0, 200000), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
      ended = true;
    }
  }
  CHECK(ended);
}

// Guards against the bytes after a malformed head that are read as a request.
TEST(CallerHead, NothingFollowsAMalformedHead)
{
  Start();
  const ReceivedResponse got = mGateway.Ask(
    LookupWith("Content-Length: 1, 1") + "x" + kLookupRequest, "one");
  STRCMP_CONTAINS("HTTP/1.1 400", got.mBytes.c_str());
  CHECK_EQUAL(0U, mTarget.Requests().size());
}
