#include "callers.h"

#include <thread>

using namespace hibiscushold;

namespace {

/// @return an answer that announces the leaving of its target
std::string
LeavingReply()
{
  return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nLeaving: 1\r\n"
         "Content-Length: 3\r\n\r\none";
}

/// @return a request for a lookup as a node with this token passes it on
std::string
PassedOn(const std::string& aToken, const std::string& aVersion = "1")
{
  return "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
         "X-Hibiscushold-Peer: Bearer " +
         aToken + "\r\nX-Hibiscushold-Version: " + aVersion + "\r\n\r\n";
}

RosterEntry
EntryOf(const GatewayFixture& aNode, const std::string& aId)
{
  return { aId, "a",
           {},  "token-of-this-node",
           1,   { "127.0.0.1", aNode.mAddress.port() } };
}

} // namespace

/// Callers ask mCutOff, which reaches no target; mHelper reaches all.
TEST_GROUP(PassedOnRequest)
{
  GatewayFixture mCutOff;
  GatewayFixture mHelper;
  std::vector<std::unique_ptr<ScriptedServer>> mTargets;

  ScriptedServer& AddTarget(std::vector<ScriptedServer::Response> aScript)
  {
    mTargets.push_back(std::make_unique<ScriptedServer>(std::move(aScript)));
    mHelper.AddTarget(*mTargets.back());
    return *mTargets.back();
  }

  void Start()
  {
    mCutOff.Start();
    mHelper.Start();
    mCutOff.mPeers.Set({ EntryOf(mHelper, "helper") });
    CutOffFromTargets(mCutOff);
  }
};

// Guards against requests that are refused at a node that is cut off, although
// other nodes reach the targets, and against headers of ours at a target.
TEST(PassedOnRequest, PlainAnswerComesThroughAnotherNode)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  const ReceivedResponse got = mCutOff.Ask(kLookupRequest, "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("Proof: p", got.mBytes.c_str());
  CHECK(got.mBytes.find("X-Hibiscushold") == std::string::npos);
  CHECK_EQUAL(1U, target.Requests().size());
  const std::string sent = target.Requests().front();
  CHECK(sent.find("X-Hibiscushold") == std::string::npos);
  STRCMP_CONTAINS("Vm: vm-1", sent.c_str());
}

// Guards against a stream that is lost, joined or cut on the way through
// another node, which resumes it at a second target.
TEST(PassedOnRequest, StreamIsResumedByTheOtherNode)
{
  AddTarget({ { StreamHead() + Event(1) + Event(2), true } });
  AddTarget({ { StreamHead() + Event(3) + kEnd } });
  Start();
  CheckEvents(mCutOff, 3);
}

// Guards against events that wait at a node until the stream ends.
TEST(PassedOnRequest, EventsArePassedOnAsTheyCome)
{
  AddTarget({ { StreamHead() + Event(1),
                false,
                false,
                Event(2) + kEnd,
                milliseconds(700) } });
  Start();
  Poco::Net::StreamSocket caller = mCutOff.Connect();
  const TimePoint start = mCutOff.mClock.Now();
  Send(caller, kStreamRequest);
  (void)GatewayFixture::Receive(caller, Event(1));
  CHECK(mCutOff.mClock.Now() - start < milliseconds(500));
  CHECK(GatewayFixture::Receive(caller, kEnd).mBytes.ends_with(kEnd));
}

// Guards against a stream that ends as complete although it broke off.
TEST(PassedOnRequest, BrokenStreamIsNotComplete)
{
  AddTarget({ { StreamHead() + Event(1), true } });
  mHelper.mConfig.mRoutes[0].mResumable = false;
  Start();
  const ReceivedResponse got = mCutOff.Ask(kStreamRequest, kEnd);
  STRCMP_CONTAINS("id: 1", got.mBytes.c_str());
  CHECK(!got.mBytes.ends_with(kEnd));
}

// Guards against an answer, or a stream, that is cut off with the other node's
// process and seems whole.
TEST(PassedOnRequest, AnswerWithoutAMarkedEndIsNotWhole)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
  const std::pair<std::string, std::string> cases[] = {
    { kLookupRequest, head + "\r\nhalf of" },
    { kStreamRequest,
      head + "Content-Type: text/event-stream\r\n\r\nid: 1\n\n" }
  };
  for (const auto& [request, answer] : cases) {
    GatewayFixture node;
    node.Start();
    ScriptedServer other({ { answer, true } });
    node.mPeers.Set({ { "other", "a", {}, "token", 1, other.Address() } });
    CutOffFromTargets(node);
    const ReceivedResponse got = node.Ask(request, "}");
    STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
    CHECK_EQUAL(1U, other.Requests().size());
  }
}

// Guards against an unrepeatable request that runs twice, or is said not to
// have run, after its answer was lost.
TEST(PassedOnRequest, UnrepeatableRequestIsSentOnce)
{
  const ScriptedServer& first = AddTarget({ { "", false, true } });
  const ScriptedServer& second = AddTarget({ { Reply("two") } });
  Start();
  mCutOff.mPeers.Set({ EntryOf(mHelper, "helper"), EntryOf(mHelper, "again") });
  const ReceivedResponse got = mCutOff.Ask(kOrderRequest, "}");
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  CHECK_EQUAL(1U, first.Requests().size());
  CHECK_EQUAL(0U, second.Requests().size());
}

// Guards against an unrepeatable request that runs twice because the other
// node ended after it had taken it.
TEST(PassedOnRequest, UnrepeatableRequestIsNotOfferedAgain)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  ScriptedServer ending({ { "", false, true } });
  RosterEntry entry = EntryOf(mHelper, "ending");
  entry.mCallers.mPort = ending.Address().mPort;
  mCutOff.mPeers.Set({ entry });
  const ReceivedResponse got = mCutOff.Ask(kOrderRequest, "}");
  STRCMP_CONTAINS("HTTP/1.1 502", got.mBytes.c_str());
  CHECK_EQUAL(1U, ending.Requests().size());
  CHECK_EQUAL(0U, target.Requests().size());
}

// Guards against two nodes that are both cut off and send a request in a
// circle, and against a request that is refused although a third one could
// serve it.
TEST(PassedOnRequest, IsOfferedToAThirdNodeIfTheSecondIsCutOffToo)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  GatewayFixture second;
  second.Start();
  second.mPeers.Set({ EntryOf(mCutOff, "first") });
  CutOffFromTargets(second);
  mCutOff.mPeers.Set({ EntryOf(second, "second") });
  const std::string refused = mCutOff.Ask(kOrderRequest, "}").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
  STRCMP_CONTAINS("Retry-After: 0.020", refused.c_str());
  CHECK(refused.find("X-Hibiscushold") == std::string::npos);
  mCutOff.mPeers.Set(
    { EntryOf(second, "second-again"), EntryOf(mHelper, "helper") });
  const std::string served = mCutOff.Ask(kOrderRequest, "one").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 200", served.c_str());
  CHECK_EQUAL(1U, target.Requests().size());
}

// Guards against a planned stop of the other node that refuses what a third
// one could serve.
TEST(PassedOnRequest, IsOfferedToAThirdNodeIfTheSecondStops)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  GatewayFixture second;
  second.Start();
  second.Stop(second.mClock.Now());
  mCutOff.mPeers.Set({ EntryOf(second, "second"), EntryOf(mHelper, "helper") });
  for (int n = 0; n < 8 && target.Requests().empty(); ++n) {
    STRCMP_CONTAINS("HTTP/1.1 200",
                    mCutOff.Ask(kOrderRequest, "one").mBytes.c_str());
  }
}

// Guards against a second run of a request whose target answers with a header
// that only nodes send, which says that it has not run.
TEST(PassedOnRequest, TargetCantSendTheRequestToAnotherNode)
{
  std::string answer = Reply("one");
  answer.insert(answer.find("Proof"), "X-Hibiscushold-Elsewhere: x\r\n");
  const ScriptedServer& target = AddTarget({ { answer }, { answer } });
  Start();
  mCutOff.mPeers.Set({ EntryOf(mHelper, "helper"), EntryOf(mHelper, "again") });
  const std::string got = mCutOff.Ask(kOrderRequest, "one").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 200", got.c_str());
  CHECK(got.find("X-Hibiscushold") == std::string::npos);
  CHECK_EQUAL(1U, target.Requests().size());
}

// Guards against many requests that wait for a node which has fallen silent.
TEST(PassedOnRequest, SilentNodeIsNotAskedAgainForAWhile)
{
  AddTarget(std::vector<ScriptedServer::Response>(20, { Reply("one") }));
  Start();
  ScriptedServer silent({});
  RosterEntry entry = EntryOf(mHelper, "silent");
  entry.mCallers.mPort = silent.Address().mPort;
  mCutOff.mPeers.Set({ entry, EntryOf(mHelper, "helper") });
  const std::string request =
    "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 150\r\n\r\n";
  for (int n = 0; n < 20; ++n) {
    (void)mCutOff.Ask(request, "one");
  }
  CHECK(silent.Requests().size() <= 1);
}

// Guards against nodes of others, and callers, that are believed to be nodes.
TEST(PassedOnRequest, IsRefusedWithoutTheTokenOfTheNode)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  const std::string got =
    mHelper.Ask(PassedOn("another-token-entirely"), "}").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 503", got.c_str());
  STRCMP_CONTAINS("peer_refused", got.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", got.c_str());
  const std::string unversioned =
    mHelper.Ask(PassedOn("token-of-this-node", "x"), "}").mBytes;
  STRCMP_CONTAINS("peer_refused", unversioned.c_str());
  CHECK_EQUAL(0U, target.Requests().size());
}

// Guards against a node that serves a request by an older configuration than
// the one by which it was accepted.
TEST(PassedOnRequest, IsRefusedByANodeWithAnOlderConfiguration)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  const std::string got =
    mHelper.Ask(PassedOn("token-of-this-node", "2"), "}").mBytes;
  STRCMP_CONTAINS("HTTP/1.1 503", got.c_str());
  STRCMP_CONTAINS("config_not_fresh", got.c_str());
  CHECK_EQUAL(0U, target.Requests().size());
  STRCMP_CONTAINS(
    "HTTP/1.1 200",
    mHelper.Ask(PassedOn("token-of-this-node"), "one").mBytes.c_str());
}

// Guards against a key that reaches a target, and an account that is not
// checked, on the way through another node.
TEST(PassedOnRequest, KeyIsCheckedAgainAndReachesNoTarget)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  for (GatewayFixture* it : { &mCutOff, &mHelper }) {
    it->mConfig.mHasAccounts = true;
    it->mConfig.mAccountsByKey["key-1"] = { "clerks" };
  }
  Start();
  const std::string request = "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
                              "Authorization: Bearer key-1\r\n\r\n";
  STRCMP_CONTAINS("HTTP/1.1 200", mCutOff.Ask(request, "one").mBytes.c_str());
  const std::string sent = target.Requests().front();
  STRCMP_CONTAINS("Account: clerks", sent.c_str());
  CHECK(sent.find("key-1") == std::string::npos);
  mHelper.mConfig.mAccountsByKey.clear();
  mHelper.ChangeConfig();
  STRCMP_CONTAINS("HTTP/1.1 401", mCutOff.Ask(request, "}").mBytes.c_str());
}

// Guards against a target that works on for a caller that has left.
TEST(PassedOnRequest, TargetIsLeftWhenTheCallerLeaves)
{
  const ScriptedServer& target = AddTarget({ { StreamHead() + Event(1) } });
  Start();
  {
    Poco::Net::StreamSocket caller = mCutOff.Connect();
    Send(caller, kStreamRequest);
    (void)GatewayFixture::Receive(caller, Event(1));
    CHECK_EQUAL(1U, target.OpenConnections());
  }
  CHECK_EQUAL(0U, target.WaitUntilClosed());
}

// Guards against a target that gets more time than the caller has left.
TEST(PassedOnRequest, TargetGetsTheTimeThatIsLeft)
{
  const ScriptedServer& target = AddTarget({ { Reply("one") } });
  Start();
  const std::string request =
    "GET /lookup/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 900\r\n\r\n";
  (void)mCutOff.Ask(request, "one");
  const std::string sent = target.Requests().front();
  const size_t at = sent.find("\r\nWait: ");
  CHECK(at != std::string::npos);
  const int left = std::stoi(sent.substr(at + 8));
  CHECK(left > 0 && left <= 900);
}

// Guards against a node that serves so many requests of others that its own
// callers wait.
TEST(PassedOnRequest, IsRefusedBeyondThePlacesForOtherNodes)
{
  const ScriptedServer::Response begun{ StreamHead() + Event(1) };
  AddTarget({ begun, begun, begun });
  Start();
  std::vector<Poco::Net::StreamSocket> callers;
  for (int n = 0; n < 2; ++n) {
    callers.push_back(mCutOff.Connect());
    Send(callers.back(), kStreamRequest);
    (void)GatewayFixture::Receive(callers.back(), Event(1));
  }
  const TimePoint start = mCutOff.mClock.Now();
  STRCMP_CONTAINS("HTTP/1.1 503",
                  mCutOff.Ask(kOrderRequest, "}").mBytes.c_str());
  CHECK(mCutOff.mClock.Now() - start < milliseconds(500));
  STRCMP_CONTAINS("id: 1",
                  mHelper.Ask(kStreamRequest, Event(1)).mBytes.c_str());
}

// Guards against a target that gets requests after this node has passed on its
// announcement that it leaves.
TEST(PassedOnRequest, AnnouncedLeavingIsRememberedInAnyCase)
{
  std::string reply = LeavingReply();
  reply.replace(reply.find("Leaving"), 7, "leaving");
  AddTarget({ { reply } });
  mHelper.SetTargetStart(0, 7);
  Start();
  (void)mCutOff.Ask(kLookupRequest, "one");
  CHECK(mCutOff.mLoads.Get("vm-1").mLeavingStart == std::optional<uint64_t>(7));
}

TEST(PassedOnRequest, AnnouncedLeavingIsRemembered)
{
  AddTarget({ { LeavingReply() } });
  mHelper.SetTargetStart(0, 7);
  Start();
  const std::string got = mCutOff.Ask(kLookupRequest, "one").mBytes;
  STRCMP_CONTAINS("Leaving: 1", got.c_str());
  CHECK(mCutOff.mLoads.Get("vm-1").mLeavingStart == std::optional<uint64_t>(7));
}

TEST_GROUP(ChoosePeer){
  static Peer MakePeer(const std::string& aId, TimePoint aAvoidUntil){
    return { { aId, "a", {}, "t", 1, { "10.0.0.1", 80 } }, aAvoidUntil };
}
}
;

// Guards against nodes that are chosen although they could not take a request
// a moment ago, were tried, or are of a version that takes none.
TEST(ChoosePeer, LeavesOutThoseThatCantTakeTheRequest)
{
  const TimePoint now{ std::chrono::hours(1) };
  std::vector<Peer> peers{ MakePeer("n1", now + milliseconds(1)),
                           MakePeer("n2", {}),
                           MakePeer("n3", {}),
                           MakePeer("n4", {}) };
  peers[2].mEntry.mCallers = {};
  for (const double fraction : { 0.0, 0.5, 0.99 }) {
    const Peer* chosen = ChoosePeer(peers, { "n2" }, now, fraction);
    CHECK(chosen != nullptr);
    STRCMP_EQUAL("n4", chosen->mEntry.mId.c_str());
  }
  CHECK(ChoosePeer(peers, { "n2", "n4" }, now, 0) == nullptr);
}
