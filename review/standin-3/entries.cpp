// Three empty workers are added to a model's service and form a group. One
// beat of its head, sent before it joined, is executed by the store some
// seconds late, when the group is open. Does any worker take a join of another
// group while the head of its own is open? With a third word, another writer
// replaces the head's entry instead.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int64_t kBeatMs = 1200;
constexpr int64_t kLateMs = 4000; // platform_lost, late: 1 to 6 s
constexpr int64_t kStallMs = 6000;
constexpr int64_t kFormMs = 300;
constexpr int64_t kLoadMs = 12000;
constexpr int64_t kWarmMs = 1100;
constexpr int64_t kSameModelMs = 200;
constexpr const char* kModel = "m1";

Store gStore;
std::atomic<bool> gHasTraffic{ false };
std::atomic<int> gTwo{ 0 };
std::atomic<int> gServed{ 0 };

struct Membership
{
  std::string mGroup;
  uint64_t mEpoch = 0;
  size_t mRank = 0;
  std::string mState;
  std::vector<std::string> mMembers;
  bool Is(const Membership& aOther) const
  {
    return mGroup == aOther.mGroup && mEpoch == aOther.mEpoch;
  }
};

std::vector<std::string>
ListIn(const std::string& aJson)
{
  std::vector<std::string> items;
  std::string text = Unquoted(aJson);
  std::erase_if(text, [](char it) { return it == '[' || it == ']'; });
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    items.push_back(item);
  }
  return items;
}

class Worker;
std::mutex gLock; // guards all workers
std::map<std::string, std::unique_ptr<Worker>> gWorkers;

/// A model worker as PROTOCOL.md tells it. All members need gLock.
class Worker
{
public:
  explicit Worker(std::string aId)
    : mId(std::move(aId))
    , mServer([this](Conn& aConn, const Message& aRequest) {
      return Handle(aConn, aRequest);
    })
  {
  }

  const std::string& Id() const { return mId; }
  const Membership& Group() const { return mGroup; }

  std::string Entry()
  {
    std::string text =
      EntryOf("llm", mServer.Port(), "z-a", "ready", ++mBeats, mBorn);
    text.pop_back();
    text += ",\"stage\":\"unified\",\"domain\":\"d0\",\"staged\":" +
            std::string(mIsStaged ? "[\"m1\"]" : "[]") + ",\"models\":" +
            (mGroup.mGroup.empty()
               ? "[]"
               : "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]");
    if (!mGroup.mGroup.empty()) {
      text += ",\"group\":" + GroupText();
    }
    return text + "}";
  }
  std::string GroupText() const
  {
    return "{\"name\":\"" + mGroup.mGroup +
           "\",\"epoch\":" + std::to_string(mGroup.mEpoch) +
           ",\"rank\":" + std::to_string(mGroup.mRank) + ",\"state\":\"" +
           mGroup.mState + "\"}";
  }
  void Write()
  {
    gStore.Put("servers", mId, Entry());
    mNextBeatAt = Now() + kBeatMs;
  }
  /// Sends a beat when one is due, and does what has become due.
  void Tick()
  {
    const int64_t now = Now();
    if (mDueAt != 0 && now >= mDueAt) {
      mDueAt = 0;
      if (mGroup.mState == "joining") {
        mIsStaged = true;
        mGroup.mState = "ready";
        if (mGroup.mMembers.size() == 1 && mHoldsNext) {
          mNextIsLate = true;
        }
      } else if (mIsOpening) {
        mGroup.mState = "open";
      }
      mIsOpening = false;
      Rec().Line("%s is %s in %s",
                 mId.c_str(),
                 mGroup.mState.c_str(),
                 mGroup.mGroup.c_str());
      Write();
      if (mNextIsLate) {
        mNextBeatAt = now + 1000;
      }
    }
    if (mLateAt != 0 && now >= mLateAt) {
      mLateAt = 0;
      gStore.Put("servers", mId, mLateEntry);
      Rec().Line("the store executes the late beat of %s, in which it is alone "
                 "in its earlier group",
                 mId.c_str());
    }
    if (now >= mNextBeatAt) {
      if (mNextIsLate) {
        mNextIsLate = mHoldsNext = false;
        mLateEntry = Entry();
        mLateAt = now + kLateMs;
        mNextBeatAt = now + kBeatMs;
        Rec().Line("a beat of %s gets no answer", mId.c_str());
      } else {
        Write();
      }
    }
    CheckStall(now);
  }
  void HoldNext() { mHoldsNext = true; }
  /// Another writer replaces the worker's entry: its group is of another type.
  void WriteOdd()
  {
    std::string text = Entry();
    const size_t at = text.find("\"group\":");
    text = text.substr(0, at) + "\"group\":\"" + mGroup.mGroup + "\"}";
    gStore.Put("servers", mId, text);
    Rec().Line(
      "another writer replaces the entry of %s: %s", mId.c_str(), text.c_str());
  }

private:
  void CheckStall(int64_t aNow)
  {
    if (mGroup.mRank != 0 ||
        (mGroup.mState != "open" && mGroup.mState != "closing")) {
      mStalledAt = 0;
      return;
    }
    bool isWhole = true;
    for (const std::string& it : mGroup.mMembers) {
      isWhole = isWhole && gWorkers[it]->mGroup.Is(mGroup);
    }
    mStalledAt = isWhole ? 0 : mStalledAt != 0 ? mStalledAt : aNow;
    if (mStalledAt != 0 && aNow >= mStalledAt + kStallMs) {
      mGroup.mState = "broken";
      Rec().Line("%s breaks in %s", mId.c_str(), mGroup.mGroup.c_str());
      Write();
    }
  }

  static bool Reply(Conn& aConn, int aStatus, const std::string& aBody)
  {
    return aConn.Send(
      "HTTP/1.1 " + std::to_string(aStatus) +
      " X\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }
  bool Handle(Conn& aConn, const Message& aRequest)
  {
    const std::string path = aRequest.Word(1);
    const std::string expected = aRequest.Get("Expect-Instance");
    const std::string id = aRequest.Get("Request-Id");
    std::unique_lock guard(gLock);
    if (!expected.empty() && expected != mId) {
      guard.unlock();
      return aConn.Send("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                        "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (path == "/v1/report") {
      const std::string body =
        "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"seq\":" +
        std::to_string(mOrders) +
        ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1590000,"
        "\"handles\":0,\"pace\":1.0,\"born\":" +
        std::to_string(mBorn) +
        (mGroup.mGroup.empty() ? "" : ",\"group\":" + GroupText()) + "}";
      guard.unlock();
      return Reply(aConn, 200, body);
    }
    if (path == "/v1/order") {
      const int status = Order(aRequest.mBody);
      guard.unlock();
      return Reply(aConn, status, "{}");
    }
    const bool serves = mGroup.mRank == 0 && mGroup.mState == "open";
    guard.unlock();
    if (!serves) {
      return aConn.Send("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                        "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                        "\r\nServer-Stamp: s-" + mId +
                        "\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
    for (int n = 1; n <= 5; ++n) {
      SleepMs(40);
      const std::string event =
        "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
      std::ostringstream size;
      size << std::hex << event.size();
      bytes += size.str() + "\r\n" + event + "\r\n";
      if (!aConn.Send(bytes)) {
        return false;
      }
      bytes.clear();
    }
    return aConn.Send("0\r\n\r\n");
  }

  int Order(const std::string& aBody)
  {
    const std::string op = Unquoted(MemberOf(aBody, "op"));
    const uint64_t fence =
      std::strtoull(Unquoted(MemberOf(aBody, "fence")).c_str(), nullptr, 10);
    Membership named;
    named.mGroup = Unquoted(MemberOf(aBody, "group"));
    named.mEpoch =
      std::strtoull(Unquoted(MemberOf(aBody, "epoch")).c_str(), nullptr, 10);
    if (fence < mFence) {
      return 412;
    }
    mFence = fence;
    if (op == "join") {
      return Join(named, ListIn(MemberOf(aBody, "members")));
    }
    const bool isMember = !mGroup.mGroup.empty() && mGroup.Is(named);
    if (op == "open") {
      if (!isMember || mGroup.mRank != 0) {
        return 409;
      }
      if (mGroup.mState == "open" || mIsOpening) {
        return 200;
      }
      if (mGroup.mState != "ready") {
        return 409;
      }
      mIsOpening = true;
      mDueAt = Now() + kFormMs;
      ++mOrders;
      return 202;
    }
    if (op == "close") {
      if (isMember && mGroup.mState == "open") {
        mGroup.mState = "ready";
        ++mOrders;
        Write();
      }
      return 200;
    }
    if (op == "leave" && isMember) {
      Rec().Line("%s leaves %s", mId.c_str(), mGroup.mGroup.c_str());
      mGroup = {};
      mDueAt = 0;
      mIsOpening = false;
      ++mOrders;
      Write();
    }
    return op == "leave" ? 200 : 400;
  }

  int Join(const Membership& aNamed, const std::vector<std::string>& aMembers)
  {
    if (aNamed.mEpoch < mLastEpoch) {
      return 412;
    }
    if (!mGroup.mGroup.empty() && mGroup.Is(aNamed)) {
      return mGroup.mMembers == aMembers ? 200 : 412;
    }
    if (!mGroup.mGroup.empty()) {
      const Worker& head = *gWorkers[mGroup.mMembers[0]];
      const bool isOpen =
        head.mGroup.Is(mGroup) && head.mGroup.mRank == 0 &&
        (head.mGroup.mState == "open" || head.mGroup.mState == "closing");
      if (isOpen) {
        ++gTwo;
        Rec().Line("TWO: %s takes a join of %s while %s, the head of its group "
                   "%s, is %s",
                   mId.c_str(),
                   aNamed.mGroup.c_str(),
                   head.mId.c_str(),
                   mGroup.mGroup.c_str(),
                   head.mGroup.mState.c_str());
      }
    }
    const bool isSame = mIsStaged && mHadGroup;
    mGroup = aNamed;
    mGroup.mMembers = aMembers;
    mGroup.mRank = static_cast<size_t>(
      std::find(aMembers.begin(), aMembers.end(), mId) - aMembers.begin());
    mGroup.mState = "joining";
    mLastEpoch = aNamed.mEpoch;
    mIsOpening = false;
    ++mOrders;
    // Before the first request, loads take one tenth of the time.
    mDueAt = Now() + (isSame      ? kSameModelMs
                      : mIsStaged ? kWarmMs
                                  : (gHasTraffic ? kLoadMs : kLoadMs / 10));
    mHadGroup = true;
    Rec().Line("%s joins %s (%zu members)",
               mId.c_str(),
               mGroup.mGroup.c_str(),
               aMembers.size());
    Write();
    return 202;
  }

  const std::string mId;
  const int64_t mBorn = UnixMillis();
  Server mServer;
  uint64_t mBeats = 0;
  uint64_t mOrders = 0;
  uint64_t mFence = 0;
  uint64_t mLastEpoch = 0;
  Membership mGroup;
  bool mIsStaged = false;
  bool mHadGroup = false;
  bool mIsOpening = false;
  int64_t mDueAt = 0;
  int64_t mNextBeatAt = 0;
  int64_t mStalledAt = 0;
  bool mHoldsNext = false;
  bool mNextIsLate = false;
  std::string mLateEntry;
  int64_t mLateAt = 0;
};

void
StartWorker(const std::string& aId, bool aHoldsNext)
{
  const std::lock_guard guard(gLock);
  auto& worker = gWorkers[aId];
  worker = std::make_unique<Worker>(aId);
  if (aHoldsNext) {
    worker->HoldNext();
  }
  worker->Write();
}

} // namespace

int
main(int aCount, char** aWords)
{
  // With a third word, another writer's entry is the disruption instead.
  if (aCount != 3 && aCount != 4) {
    return 2;
  }
  const bool isOdd = aCount == 4;
  std::signal(SIGPIPE, SIG_IGN);
  Rec().Open(aWords[2]);
  Now();
  static std::unique_ptr<Server> port;
  port = std::make_unique<Server>([](Conn& aConn, const Message& aCall) {
    return gStore.Handle(aConn, aCall, *port);
  });
  gStore.Put(
    "config",
    "main",
    "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"shop."
    "example\","
    "\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
    "\"slo_ms\":300,\"priority\":1,\"service\":\"llm\",\"attempts\":2,"
    "\"public\":true,\"sticky\":true,\"resumable\":true,\"gap_slo_ms\":300}],"
    "\"services\":[{\"name\":\"llm\",\"health_path\":\"/"
    "healthz\",\"max_conns\":"
    "404,\"engine\":{\"slots\":26,\"kv_tokens\":1590000,\"stride\":7,"
    "\"models\":"
    "[{\"name\":\"m1\",\"size\":3,\"share\":1.0,\"pace\":0.6,\"load_s\":12.0,"
    "\"warm_s\":1.1}],\"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":"
    "0.00813,\"read_per_s\":50700.0,\"pairs_per_m\":0.368,\"chunk\":2048,"
    "\"report_lag_ms\":200.0,\"loads_per_s\":4.5,\"loads_at_once\":6,\"usual\":"
    "{\"prompt\":1115,\"answer\":178},\"keeps\":1,\"far_x\":4.0,\"form_ms\":"
    "300.0}}],\"limits\":{\"header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_ms\":15000}}");
  for (const char* it : { "i-a1", "i-a2", "i-a3" }) {
    StartWorker(it, false);
  }
  std::thread([] {
    for (;;) {
      {
        const std::lock_guard guard(gLock);
        for (const auto& [id, worker] : gWorkers) {
          worker->Tick();
        }
      }
      SleepMs(5);
    }
  }).detach();
  const std::string folder = aWords[1];
  Node first("front-a-1", "z-a", port->Address(), folder);
  Node second("front-b-1", "z-b", port->Address(), folder);
  if (!first.AwaitReady(20000) || !second.AwaitReady(20000)) {
    Rec().Line("the nodes don't become ready");
    return 2;
  }
  SleepUntil(10000);
  gHasTraffic = true;
  std::atomic<bool> stops{ false };
  std::atomic<int> sent{ 0 };
  std::thread client([&] {
    while (!stops) {
      const int n = ++sent;
      Message reply;
      if (Ask(n % 2 == 0 ? first.mCallers : second.mCallers,
              RequestText("POST",
                          "/draft/x",
                          "req-" + std::to_string(n),
                          8000,
                          "Model: " + std::string(kModel) +
                            "\r\nToken-Counts: 100,35\r\nPrompt-Prefix: "
                            "5c1e07a2:40,91bd3f06:60\r\n",
                          "{}"),
              9000,
              reply) &&
          reply.Status() == 200 && reply.mIsWhole) {
        ++gServed;
      }
      SleepMs(100);
    }
  });
  SleepUntil(12000);
  const bool trouble = HasTrouble();
  const std::vector<std::string> added =
    isOdd ? std::vector<std::string>{}
          : std::vector<std::string>{ "i-b1", "i-b2", "i-b3" };
  for (const std::string& it : added) {
    Rec().Line("the empty worker %s is added", it.c_str());
    StartWorker(it, trouble && it == "i-b1");
    SleepMs(1000);
  }
  // The group of the new workers opens after about 15 s.
  bool hasOpened = false;
  int64_t oddAt = 0;
  const std::string headId = isOdd ? "i-a1" : "i-b1";
  const int64_t end = Now() + (isOdd ? 10000 : 24000);
  while (Now() < end) {
    {
      const std::lock_guard guard(gLock);
      const Membership& group = gWorkers[headId]->Group();
      hasOpened =
        hasOpened || (group.mState == "open" && group.mMembers.size() == 3);
      if (hasOpened && oddAt == 0) {
        oddAt = Now() + 2000;
      }
      if (isOdd && trouble && oddAt > 0 && Now() >= oddAt) {
        oddAt = -1;
        gWorkers[headId]->WriteOdd();
      }
    }
    SleepMs(20);
  }
  stops = true;
  client.join();
  Rec().Line("%d of %d requests were served", gServed.load(), sent.load());
  Rec().Line("joins taken while the head was open: %d; TWO %s",
             gTwo.load(),
             gTwo > 0 ? "broken" : "held");
  first.End(SIGKILL);
  second.End(SIGKILL);
  _exit(gTwo > 0 ? 1 : hasOpened ? 0 : 2);
}
