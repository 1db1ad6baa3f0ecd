#pragma once

/// Stand-ins of the workers (PROTOCOL.md, "Workers", "Service discovery" and
/// the groups of "Requests").

#include "store.hpp"

namespace kit {

/// What workers have run, by the id of the request.
class Runs
{
public:
  void Add(const std::string& aRequest, const std::string& aWorker)
  {
    const std::lock_guard guard(mLock);
    mRuns[aRequest].push_back(aWorker);
  }
  std::map<std::string, std::vector<std::string>> All() const
  {
    const std::lock_guard guard(mLock);
    return mRuns;
  }
  size_t Count(const std::string& aRequest) const
  {
    const std::lock_guard guard(mLock);
    const auto it = mRuns.find(aRequest);
    return it == mRuns.end() ? 0 : it->second.size();
  }

private:
  mutable std::mutex mLock;
  std::map<std::string, std::vector<std::string>> mRuns;
};

inline std::string
StampOf(const std::string& aWorker, const std::string& aRequest)
{
  return aWorker + "." + aRequest;
}

/// A worker of a plain service. It works on a request for aWorkMs and answers.
class PlainWorker
{
public:
  /// @param aColdLeftMs how much longer the worker stays slow, as it says
  PlainWorker(std::string aId,
              std::string aService,
              int aWorkMs,
              Store& aStore,
              Record& aRecord,
              Runs& aRuns,
              int aColdLeftMs = 0)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mWorkMs(aWorkMs)
    , mStore(aStore)
    , mRecord(aRecord)
    , mRuns(aRuns)
    , mBorn(UnixMs())
    , mServer([this](Connection& aTo, const Message& aCall) {
      return Handle(aTo, aCall);
    })
  {
    Report(aColdLeftMs);
  }

  /// Writes the entry.
  void Report(int aColdLeftMs)
  {
    ++mSeq;
    if (aColdLeftMs > 0) {
      mRecord.Line(
        "worker %s reports cold_left_ms %d", mId.c_str(), aColdLeftMs);
    }
    mStore.Put(
      "servers",
      mId,
      "{\"service\":\"" + mService + "\",\"addr\":\"" + mServer.Address() +
        "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
        "\"state\":\"ready\",\"cold_left_ms\":" +
        std::to_string(aColdLeftMs) + ",\"seq\":" + std::to_string(mSeq) +
        ",\"born\":" + std::to_string(mBorn) + "}");
  }

  /// From now on, one of so many answers is a body without a length that comes
  /// without end, until the caller closes; 0 for none.
  void SetEndless(int aOneOf) { mEndlessOneOf = aOneOf; }
  size_t EndlessAnswers() const { return mEndlessAnswers; }

  /// Removes the entry; the worker goes on serving.
  void Withdraw()
  {
    mRecord.Line("the entry of worker %s is removed", mId.c_str());
    mStore.Remove("servers", mId);
  }

  /// @return the requests that arrived later than a time
  size_t ArrivedAfter(int64_t aTime) const
  {
    const std::lock_guard guard(mLock);
    return static_cast<size_t>(
      std::count_if(mArrivals.begin(), mArrivals.end(), [aTime](int64_t it) {
        return it > aTime;
      }));
  }

private:
  bool Handle(Connection& aTo, const Message& aCall)
  {
    if (aCall.Word(1) == "/healthz") {
      return aTo.Send(Reply(200, "{}", "Instance-Id: " + mId + "\r\n"));
    }
    if (aCall.Get("Expect-Instance", mId) != mId) {
      return aTo.Send(Reply(421, "", "Instance-Id: " + mId + "\r\n"));
    }
    const std::string request = aCall.Get("Request-Id");
    if (request.empty()) {
      return aTo.Send(Reply(400, "", "Not-Run: 1\r\n"));
    }
    mRecord.Line("%s runs %s (%s %s, a body of %zu bytes)",
                 mId.c_str(),
                 request.c_str(),
                 aCall.Word(0).c_str(),
                 aCall.Word(1).c_str(),
                 aCall.mBody.size());
    mRuns.Add(request, mId);
    {
      const std::lock_guard guard(mLock);
      mArrivals.push_back(NowMs());
    }
    SleepMs(mWorkMs);
    const int oneOf = mEndlessOneOf;
    if (oneOf > 0 && ++mAnswers % static_cast<size_t>(oneOf) == 0) {
      ++mEndlessAnswers;
      return SendEndless(aTo, request);
    }
    return aTo.Send(Reply(200,
                          "done " + request,
                          "Request-Id: " + request + "\r\nServer-Stamp: " +
                            StampOf(mId, request) + "\r\n"));
  }

  bool SendEndless(Connection& aTo, const std::string& aRequest)
  {
    mRecord.Line("%s answers %s without end", mId.c_str(), aRequest.c_str());
    const std::string bytes(4096, 'x');
    bool open =
      aTo.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest +
               "\r\nServer-Stamp: " + StampOf(mId, aRequest) + "\r\n\r\n");
    while (open) {
      open = aTo.Send(bytes);
    }
    return false;
  }

  const std::string mId;
  const std::string mService;
  const int mWorkMs;
  std::atomic<int> mEndlessOneOf{ 0 };
  std::atomic<size_t> mAnswers{ 0 };
  std::atomic<size_t> mEndlessAnswers{ 0 };
  Store& mStore;
  Record& mRecord;
  Runs& mRuns;
  const int64_t mBorn;
  uint64_t mSeq = 0;
  mutable std::mutex mLock;
  std::vector<int64_t> mArrivals;
  Server mServer;
};

/// Times of the engines, as in the config below.
constexpr int kWarmMs = 1600;
constexpr int kLoadMs = 16000;
constexpr int kRejoinMs = 200;
constexpr int kFormMs = 300;
constexpr int kStallMs = 6000;

class EngineFleet;

/// A worker of the engine service, and its membership.
struct EngineWorker
{
  std::string mId;
  std::string mDomain;
  std::string mState = "ready";
  uint64_t mBorn = 0;
  uint64_t mSeq = 0;
  uint64_t mMaxFence = 0;
  uint64_t mMaxEpoch = 0;
  std::string mLastModel; ///< of the last group since the start
  std::string mGroup;     ///< empty: none
  uint64_t mEpoch = 0;
  std::vector<std::string> mMembers;
  std::string mModel;
  std::string mPhase;
  uint64_t mChange = 0;      ///< counts changes of the membership
  int64_t mIncompleteAt = 0; ///< of a head: a member was lost then
  int64_t mCutUntil = 0;
  std::unique_ptr<Server> mServer;

  size_t Rank() const
  {
    return static_cast<size_t>(
      std::find(mMembers.begin(), mMembers.end(), mId) - mMembers.begin());
  }
};

/// All workers of the engine service, under one lock, and the check of TWO:
/// "A worker takes a join of another group while the head of its group is open
/// or closing, or stands still and isn't yet broken."
class EngineFleet
{
public:
  /// How an order is met: answered at once, or not answered and carried out
  /// later.
  using LateRule =
    std::function<std::optional<int>(const std::string& aWorker,
                                     const std::string& aOperation,
                                     const std::string& aGroup)>;
  /// Is told, under the lock, of orders that were carried out.
  using DoneRule = std::function<void(const std::string& aWorker,
                                      const std::string& aOperation,
                                      const std::string& aGroup)>;

  EngineFleet(Store& aStore, Record& aRecord, Runs& aRuns)
    : mStore(aStore)
    , mRecord(aRecord)
    , mRuns(aRuns)
  {
  }

  /// @param aDomain in the fabric
  void Add(const std::string& aId, const std::string& aDomain = "domain-1")
  {
    const std::lock_guard guard(mLock);
    EngineWorker& worker = mWorkers[aId];
    worker.mId = aId;
    worker.mDomain = aDomain;
    worker.mBorn = static_cast<uint64_t>(UnixMs());
    worker.mServer = std::make_unique<Server>(
      [this, aId](Connection& aTo, const Message& aCall) {
        return Handle(aId, aTo, aCall);
      });
    Report(worker);
  }

  /// The worker reports that it drains; it goes on serving for a time.
  void Drain(const std::string& aId)
  {
    const std::lock_guard guard(mLock);
    mRecord.Line("worker %s reports draining", aId.c_str());
    mWorkers.at(aId).mState = "draining";
    Report(mWorkers.at(aId));
  }

  /// A drained worker has left.
  void End(const std::string& aId)
  {
    const std::lock_guard guard(mLock);
    mRecord.Line("worker %s leaves", aId.c_str());
    LoseMember(aId);
    Clear(mWorkers.at(aId));
    mStore.Remove("servers", aId);
    mEnded.insert(aId);
  }

  /// Partitions workers from all machines of the system until a time. They
  /// reach each other and the store. What is sent to them meanwhile is lost.
  void CutOff(const std::vector<std::string>& aIds, int64_t aUntil)
  {
    const std::lock_guard guard(mLock);
    for (const std::string& it : aIds) {
      mRecord.Line("worker %s is cut off from all machines", it.c_str());
      mWorkers.at(it).mCutUntil = aUntil;
    }
  }

  /// @return the members of all groups whose head is open
  std::vector<std::vector<std::string>> OpenGroups() const
  {
    const std::lock_guard guard(mLock);
    std::vector<std::vector<std::string>> groups;
    for (const auto& [id, it] : mWorkers) {
      if (it.mPhase == "open" && it.Rank() == 0) {
        groups.push_back(it.mMembers);
      }
    }
    return groups;
  }

  void SetLateRule(LateRule aRule)
  {
    const std::lock_guard guard(mLock);
    mLateRule = std::move(aRule);
  }
  void SetDoneRule(DoneRule aRule)
  {
    const std::lock_guard guard(mLock);
    mDoneRule = std::move(aRule);
  }

  /// @return the members of the group whose head is open, empty if none is
  std::vector<std::string> OpenGroup() const
  {
    const std::lock_guard guard(mLock);
    for (const auto& [id, it] : mWorkers) {
      if (it.mPhase == "open" && it.Rank() == 0) {
        return it.mMembers;
      }
    }
    return {};
  }

  /// Events of a stream, 40 ms apart.
  void SetEvents(int aEvents) { mEvents = aEvents; }

  size_t Broken() const { return mBroken; }
  size_t Orders() const { return mOrders; }
  size_t LateOrders() const { return mLateOrders; }

private:
  bool Handle(const std::string& aId, Connection& aTo, const Message& aCall)
  {
    if (mEnded.contains(aId) || WaitForCut(aId)) {
      return false;
    }
    if (aCall.Word(1) == "/v1/report") {
      std::string text;
      {
        const std::lock_guard guard(mLock);
        text = ToText(Describe(mWorkers.at(aId)));
      }
      return aTo.Send(Reply(200, text, "Instance-Id: " + aId + "\r\n"));
    }
    if (aCall.Get("Expect-Instance", aId) != aId) {
      return aTo.Send(Reply(421, "", "Instance-Id: " + aId + "\r\n"));
    }
    if (aCall.Word(1) == "/v1/order") {
      return TakeOrder(aId, aTo, aCall);
    }
    return Serve(aId, aTo, aCall);
  }

  /// Waits while the worker is cut off.
  /// @return whether it was
  bool WaitForCut(const std::string& aId)
  {
    bool was = false;
    for (;;) {
      int64_t until = 0;
      {
        const std::lock_guard guard(mLock);
        until = mWorkers.at(aId).mCutUntil;
      }
      if (NowMs() >= until) {
        return was;
      }
      was = true;
      SleepUntil(until);
    }
  }

  bool TakeOrder(const std::string& aId, Connection& aTo, const Message& aCall)
  {
    Json::Value order;
    if (!FromText(aCall.mBody, order)) {
      return aTo.Send(Reply(400, "{}"));
    }
    const std::string operation = order["op"].asString();
    const std::string group = order["group"].asString();
    std::optional<int> late;
    {
      const std::lock_guard guard(mLock);
      ++mOrders;
      late = mLateRule ? mLateRule(aId, operation, group) : std::nullopt;
    }
    if (!late) {
      const std::lock_guard guard(mLock);
      const int status = CarryOut(aId, order);
      mRecord.Line("worker %s: %s of %s, answered %d",
                   aId.c_str(),
                   operation.c_str(),
                   group.c_str(),
                   status);
      return aTo.Send(Reply(status, "{}"));
    }
    ++mLateOrders;
    mRecord.Line("worker %s: %s of %s isn't answered, and carried out in %d ms",
                 aId.c_str(),
                 operation.c_str(),
                 group.c_str(),
                 *late);
    std::thread([this, aId, order, operation, group, delay = *late] {
      SleepMs(delay);
      const std::lock_guard guard(mLock);
      const int status = mEnded.contains(aId) ? 0 : CarryOut(aId, order);
      mRecord.Line("worker %s: late %s of %s is carried out: %d",
                   aId.c_str(),
                   operation.c_str(),
                   group.c_str(),
                   status);
    }).detach();
    // No answer; the caller closes the connection when it has waited enough.
    while (aTo.Fill(NowMs() + 20000)) {
    }
    return false;
  }

  int CarryOut(const std::string& aId, const Json::Value& aOrder)
  {
    EngineWorker& worker = mWorkers.at(aId);
    if (aOrder["expect"].isUInt64() &&
        aOrder["expect"].asUInt64() != worker.mSeq) {
      return 409;
    }
    const uint64_t fence = aOrder["fence"].asUInt64();
    if (fence < worker.mMaxFence) {
      return 412;
    }
    worker.mMaxFence = fence;
    const std::string operation = aOrder["op"].asString();
    const int status = operation == "join" ? Join(worker, aOrder)
                                           : Other(worker, operation, aOrder);
    if (status == 202) {
      ++worker.mSeq;
    }
    if (status == 200 || status == 202) {
      Report(worker);
      if (mDoneRule) {
        mDoneRule(aId, operation, aOrder["group"].asString());
      }
    }
    return status;
  }

  int Join(EngineWorker& aWorker, const Json::Value& aOrder)
  {
    std::vector<std::string> members;
    for (const Json::Value& it : aOrder["members"]) {
      members.push_back(it.asString());
    }
    const std::string group = aOrder["group"].asString();
    const uint64_t epoch = aOrder["epoch"].asUInt64();
    const bool same = aWorker.mGroup == group && aWorker.mEpoch == epoch;
    if (epoch < aWorker.mMaxEpoch || (same && aWorker.mMembers != members)) {
      return 412;
    }
    if (same) {
      return 200;
    }
    CheckTwo(aWorker, group);
    LoseMember(aWorker.mId);
    aWorker.mMaxEpoch = epoch;
    aWorker.mGroup = group;
    aWorker.mEpoch = epoch;
    aWorker.mMembers = members;
    aWorker.mModel = aOrder["model"].asString();
    aWorker.mPhase = "joining";
    aWorker.mIncompleteAt = 0;
    const int time = aWorker.mLastModel == aWorker.mModel ? kRejoinMs : kWarmMs;
    aWorker.mLastModel = aWorker.mModel;
    Later(aWorker, time, "joining", "ready");
    return 202;
  }

  int Other(EngineWorker& aWorker,
            const std::string& aOperation,
            const Json::Value& aOrder)
  {
    if (aWorker.mGroup != aOrder["group"].asString() ||
        aWorker.mEpoch != aOrder["epoch"].asUInt64()) {
      return 409;
    }
    if (aOperation == "leave") {
      LoseMember(aWorker.mId);
      Clear(aWorker);
      return 202;
    }
    if (aOperation == "open") {
      if (aWorker.mPhase == "open") {
        return 200;
      }
      if (aWorker.mPhase != "ready" || aWorker.Rank() != 0) {
        return 409;
      }
      Later(aWorker, kFormMs, "ready", "open");
      return 202;
    }
    if (aOperation == "close") {
      if (aWorker.mPhase != "open") {
        return 409;
      }
      aWorker.mPhase = "closing";
      ++aWorker.mChange;
      Later(aWorker, 50, "closing", "ready");
      return 202;
    }
    return 400;
  }

  /// The head of the worker's group, if it is in that group too.
  EngineWorker* HeadOf(const EngineWorker& aWorker)
  {
    const auto head = aWorker.mMembers.empty()
                        ? mWorkers.end()
                        : mWorkers.find(aWorker.mMembers[0]);
    return head != mWorkers.end() && !aWorker.mGroup.empty() &&
               head->second.mGroup == aWorker.mGroup &&
               head->second.mEpoch == aWorker.mEpoch &&
               !mEnded.contains(head->first)
             ? &head->second
             : nullptr;
  }

  void CheckTwo(const EngineWorker& aWorker, const std::string& aGroup)
  {
    const EngineWorker* head = HeadOf(aWorker);
    if (head != nullptr &&
        (head->mPhase == "open" || head->mPhase == "closing")) {
      ++mBroken;
      mRecord.Line(
        "TWO: worker %s takes a join of %s while %s, the head of its "
        "group %s, is %s",
        aWorker.mId.c_str(),
        aGroup.c_str(),
        head->mId.c_str(),
        aWorker.mGroup.c_str(),
        head->mPhase.c_str());
    }
  }

  /// The head of the worker's group stands still from now on, and is broken
  /// after the stall time.
  void LoseMember(const std::string& aId)
  {
    EngineWorker* head = HeadOf(mWorkers.at(aId));
    if (head == nullptr || head->mId == aId || head->mIncompleteAt != 0) {
      return;
    }
    head->mIncompleteAt = NowMs();
    if (head->mPhase == "open" || head->mPhase == "closing") {
      Later(*head, kStallMs, head->mPhase, "broken", false);
    }
  }

  static void Clear(EngineWorker& aWorker)
  {
    aWorker.mGroup.clear();
    aWorker.mMembers.clear();
    aWorker.mPhase.clear();
    aWorker.mIncompleteAt = 0;
    ++aWorker.mChange;
  }

  /// Moves the worker to another phase after a time, unless its membership has
  /// changed by then.
  void Later(EngineWorker& aWorker,
             int aMillis,
             const std::string& aFrom,
             const std::string& aTo,
             bool aIsChange = true)
  {
    const uint64_t change = aIsChange ? ++aWorker.mChange : aWorker.mChange;
    std::thread([this, id = aWorker.mId, change, aMillis, aFrom, aTo] {
      SleepMs(aMillis);
      const std::lock_guard guard(mLock);
      EngineWorker& worker = mWorkers.at(id);
      if (worker.mChange != change || worker.mPhase != aFrom) {
        return;
      }
      worker.mPhase = aTo;
      mRecord.Line("worker %s is %s in %s (rank %zu)",
                   id.c_str(),
                   aTo.c_str(),
                   worker.mGroup.c_str(),
                   worker.Rank());
      Report(worker);
    }).detach();
  }

  Json::Value Describe(const EngineWorker& aWorker) const
  {
    Json::Value json;
    json["stage"] = "unified";
    json["busy"] = false;
    json["seq"] = Json::UInt64(aWorker.mSeq);
    json["waiting"] = 0;
    json["running"] = 0;
    json["kv_used"] = 0;
    json["kv_total"] = 1590000;
    json["handles"] = 0;
    json["pace"] = 1;
    json["born"] = Json::UInt64(aWorker.mBorn);
    json["domain"] = aWorker.mDomain;
    json["staged"].append("model-a");
    json["models"] = Json::Value(Json::arrayValue);
    if (!aWorker.mGroup.empty()) {
      Json::Value model;
      model["name"] = aWorker.mModel;
      model["version"] = 1;
      model["adapters"] = Json::Value(Json::arrayValue);
      json["models"].append(model);
      json["group"]["name"] = aWorker.mGroup;
      json["group"]["epoch"] = Json::UInt64(aWorker.mEpoch);
      json["group"]["rank"] = Json::UInt64(aWorker.Rank());
      json["group"]["state"] = aWorker.mPhase;
    }
    return json;
  }

  /// The worker writes its entry, at once after a change.
  void Report(const EngineWorker& aWorker)
  {
    Json::Value entry = Describe(aWorker);
    for (const char* it : { "busy",
                            "waiting",
                            "running",
                            "kv_used",
                            "kv_total",
                            "handles",
                            "pace" }) {
      entry.removeMember(it);
    }
    entry["service"] = "drafting";
    entry["addr"] = aWorker.mServer->Address();
    entry["zone"] = "zone-a";
    entry["version"] = "v1";
    entry["slots"] = 26;
    entry["state"] = aWorker.mState;
    entry["cold_left_ms"] = 0;
    mStore.Put("servers", aWorker.mId, ToText(entry));
  }

  bool Serve(const std::string& aId, Connection& aTo, const Message& aCall)
  {
    const std::string request = aCall.Get("Request-Id");
    {
      const std::lock_guard guard(mLock);
      const EngineWorker& worker = mWorkers.at(aId);
      if (worker.mPhase != "open" || worker.Rank() != 0 ||
          aCall.Get("Model") != worker.mModel) {
        return aTo.Send(Reply(421, "", "Instance-Id: " + aId + "\r\n"));
      }
    }
    mRecord.Line("worker %s runs %s", aId.c_str(), request.c_str());
    mRuns.Add(request, aId);
    if (!aTo.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\nRequest-Id: " +
                  request + "\r\nServer-Stamp: " + StampOf(aId, request) +
                  "\r\nWeight-Versions: 1\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= mEvents; ++i) {
      SleepMs(40);
      WaitForCut(aId);
      const std::string event =
        "id: " + std::to_string(i) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!aTo.Send(size + event + "\r\n")) {
        return false;
      }
    }
    return aTo.Send("0\r\n\r\n");
  }

  Store& mStore;
  Record& mRecord;
  Runs& mRuns;
  mutable std::mutex mLock;
  std::map<std::string, EngineWorker> mWorkers;
  std::set<std::string> mEnded;
  int mEvents = 5;
  LateRule mLateRule;
  DoneRule mDoneRule;
  std::atomic<size_t> mBroken{ 0 };
  std::atomic<size_t> mOrders{ 0 };
  std::atomic<size_t> mLateOrders{ 0 };
};

/// The config that is in force from the start: a streaming route to the engine
/// service "drafting" and two plain routes to "ledger".
inline std::string
ConfigText(int aVersion = 7)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[
{"name":"draft","host":"desk.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":8000,"slo_ms":300,"priority":1,"service":"drafting","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_slo_ms":300},
{"name":"order","host":"desk.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"ledger","attempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"ledger","attempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[
{"name":"drafting","health_path":"/healthz","max_conns":404,"protocol":"h1","tls":false,"engine":{"slots":26,"kv_tokens":1590000,"stride":7,"models":[{"name":"model-a","size":3,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":1.6}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.5,"loads_at_once":6,"usual":{"prompt":1115,"answer":178},"keeps":1,"far_x":4.0,"form_ms":300.0}},
{"name":"ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_ms":15000},
"tenants":[{"name":"desk","keys":["key-of-desk"],"priority":1}]})";
}

} // namespace kit
