#include "engines.hpp"

#include <algorithm>

namespace review {

namespace {

constexpr int kFormMillis = 300;

std::string
ToAnswer(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

Engines::Engines(World& aWorld,
                 const std::string& aService,
                 size_t aCount,
                 int aWarmMillis,
                 int aLoadMillis,
                 Answer aAnswer)
  : mWorld(aWorld)
  , mService(aService)
  , mAnswer(std::move(aAnswer))
  , mWarmMillis(aWarmMillis)
  , mLoadMillis(aLoadMillis)
{
  for (size_t n = 1; n <= aCount; ++n) {
    Add();
  }
}

Engine&
Engines::Add()
{
  const std::lock_guard guard(mLock);
  const size_t n = mEngines.size() + 1;
  mEngines.push_back(std::make_unique<Engine>());
  Engine& engine = *mEngines.back();
  engine.mWorker = std::make_unique<Worker>("m-" + std::to_string(n),
                                            mService,
                                            "zone-" + std::to_string(n % 2 + 1),
                                            mWorld.mStore,
                                            mWorld.mRecord,
                                            mAnswer);
  engine.mWorker->mControl = [this, &engine](const Run& aRun,
                                             Channel& aChannel,
                                             const std::string& aLast) {
    return Control(engine, aRun, aChannel, aLast);
  };
  Report(engine);
  return engine;
}

void
Engines::Drain(Engine& aEngine)
{
  {
    const std::lock_guard guard(mLock);
    aEngine.mWorker->mState = "draining";
    Report(aEngine);
    mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() + " drains");
  }
  std::thread([this, &aEngine] {
    Sleep(3000);
    const std::lock_guard guard(mLock);
    aEngine.mWorker->RemoveEntry();
    aEngine.mWorker->Crash();
    aEngine.mGroup.reset();
    mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() + " exits");
  }).detach();
}

bool
Engines::IsWhole(const std::string& aHeadId)
{
  const std::lock_guard guard(mLock);
  const Engine* head = Find(aHeadId);
  if (head == nullptr || !head->mGroup || head->mGroup->mRank != 0 ||
      head->mGroup->mState != "open") {
    return false;
  }
  return std::all_of(
    head->mGroup->mMembers.begin(),
    head->mGroup->mMembers.end(),
    [&](const std::string& it) {
      const Engine* member = Find(it);
      return member != nullptr && member->mGroup &&
             member->mGroup->mKey == head->mGroup->mKey;
    });
}

Engine*
Engines::Find(const std::string& aId)
{
  for (const auto& it : mEngines) {
    if (it->mWorker->Id() == aId) {
      return it.get();
    }
  }
  return nullptr;
}

void
Engines::Report(Engine& aEngine)
{
  Json::Value extra = Json::objectValue;
  extra["stage"] = "unified";
  extra["domain"] = "domain-1";
  extra["staged"] = Json::arrayValue;
  extra["models"] = Json::arrayValue;
  for (const std::string& it : aEngine.mStaged) {
    extra["staged"].append(it);
  }
  if (aEngine.mGroup) {
    Json::Value model;
    model["name"] = aEngine.mGroup->mModel;
    model["version"] = 1;
    model["adapters"] = Json::arrayValue;
    extra["models"].append(model);
    extra["group"]["name"] = aEngine.mGroup->mKey.mName;
    extra["group"]["epoch"] = Json::UInt64(aEngine.mGroup->mKey.mEpoch);
    extra["group"]["rank"] = Json::UInt(aEngine.mGroup->mRank);
    extra["group"]["state"] = aEngine.mGroup->mState;
  }
  aEngine.mWorker->mExtra = extra;
  ++aEngine.mWorker->mSequence;
  aEngine.mWorker->Report();
}

void
Engines::Crash(Engine& aEngine)
{
  aEngine.mWorker->Crash();
  mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() + " ends");
}

void
Engines::Restart(Engine& aEngine)
{
  const std::lock_guard guard(mLock);
  aEngine.mGroup.reset();
  aEngine.mLastModel.clear();
  aEngine.mMaxEpoch = aEngine.mMaxFence = aEngine.mSequence = 0;
  aEngine.mWorker->Restart();
  Report(aEngine);
  mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() +
                     " starts again under its id");
}

void
Engines::Later(int aMillis, std::function<void()> aWhat)
{
  std::thread([this, aMillis, what = std::move(aWhat)] {
    Sleep(aMillis);
    const std::lock_guard guard(mLock);
    what();
  }).detach();
}

std::string
Engines::Control(Engine& aEngine,
                 const Run& aRun,
                 Channel& aChannel,
                 const std::string& aLastAnswer)
{
  const int64_t silence = aEngine.mSilentUntil - mWorld.mRecord.Time().Now();
  if (silence > 0) {
    Sleep(static_cast<int>(silence));
  }
  if (aRun.mUri == "/v1/report") {
    const std::lock_guard guard(mLock);
    Json::Value report = aEngine.mWorker->mExtra;
    report["busy"] = false;
    report["seq"] = Json::UInt64(aEngine.mSequence);
    report["waiting"] = report["running"] = report["kv_used"] = 0;
    report["kv_total"] = 1590000;
    report["handles"] = 0;
    report["pace"] = 1.0;
    report["born"] = Json::UInt64(aEngine.mWorker->mBorn);
    return ToAnswer(200, report.toStyledString());
  }
  if (aRun.mUri != "/v1/order") {
    return ToAnswer(404, "{}");
  }
  const Json::Value order = ParseJson(aRun.mBody);
  const std::string text = order["op"].asString() + " of group " +
                           order["group"].asString() + " fence " +
                           order["fence"].asString();
  mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() + " gets order " + text);
  if (mOnOrder) {
    const std::string first = mOnOrder(aEngine, order, aLastAnswer);
    if (!first.empty()) {
      aChannel.Send(first);
    }
    const int64_t later = aEngine.mSilentUntil - mWorld.mRecord.Time().Now();
    if (later > 0) {
      Sleep(static_cast<int>(later));
    }
  }
  const std::lock_guard guard(mLock);
  const int status = Carry(aEngine, order);
  mWorld.mRecord.Add("worker " + aEngine.mWorker->Id() + " answers " +
                     std::to_string(status) + " to order " + text);
  return ToAnswer(status, "{}");
}

int
Engines::Carry(Engine& aEngine, const Json::Value& aOrder)
{
  const std::string op = aOrder["op"].asString();
  if (aOrder["fence"].asUInt64() < aEngine.mMaxFence) {
    return 412;
  }
  aEngine.mMaxFence = aOrder["fence"].asUInt64();
  if (op == "join") {
    return Join(aEngine, aOrder);
  }
  const GroupName key{ aOrder["group"].asString(),
                       aOrder["epoch"].asUInt64() };
  const bool isMember = aEngine.mGroup && aEngine.mGroup->mKey == key;
  if (op == "leave") {
    if (isMember) {
      aEngine.mGroup.reset();
      ++aEngine.mSequence;
      Report(aEngine);
    }
    return 200;
  }
  if (op != "open" && op != "close") {
    return 400;
  }
  if (!isMember || aEngine.mGroup->mRank != 0) {
    return 409;
  }
  if (op == "close") {
    if (aEngine.mGroup->mState == "open") {
      aEngine.mGroup->mState = "ready";
      ++aEngine.mSequence;
      Report(aEngine);
    }
    return 200;
  }
  if (aEngine.mGroup->mState == "open") {
    return 200;
  }
  if (aEngine.mGroup->mState != "ready") {
    return 409;
  }
  ++aEngine.mSequence;
  Later(kFormMillis, [this, &aEngine, key, life = aEngine.mWorker->mLife.load()] {
    if (aEngine.mWorker->mLife == life && aEngine.mGroup &&
        aEngine.mGroup->mKey == key && aEngine.mGroup->mState == "ready") {
      aEngine.mGroup->mState = "open";
      mWorld.mRecord.Add("group " + key.mName + " is open");
      Report(aEngine);
    }
  });
  return 202;
}

int
Engines::Join(Engine& aEngine, const Json::Value& aOrder)
{
  const std::string id = aEngine.mWorker->Id();
  Membership wanted;
  wanted.mKey = { aOrder["group"].asString(), aOrder["epoch"].asUInt64() };
  wanted.mModel = aOrder["model"].asString();
  for (const Json::Value& it : aOrder["members"]) {
    wanted.mMembers.push_back(it.asString());
  }
  if (wanted.mKey.mEpoch < aEngine.mMaxEpoch) {
    return 412;
  }
  if (aEngine.mGroup && aEngine.mGroup->mKey == wanted.mKey) {
    return aEngine.mGroup->mMembers == wanted.mMembers ? 200 : 412;
  }
  // The rule TWO.
  if (aEngine.mGroup && aEngine.mGroup->mMembers.size() > 1) {
    const Engine* head = Find(aEngine.mGroup->mMembers[0]);
    if (head != nullptr && head->mGroup &&
        head->mGroup->mKey == aEngine.mGroup->mKey &&
        (head->mGroup->mState == "open" || head->mGroup->mState == "closing")) {
      mBreaches.push_back("worker " + id + " takes a join of group " +
                          wanted.mKey.mName + " while " +
                          head->mWorker->Id() + ", the head of its group " +
                          aEngine.mGroup->mKey.mName + ", is " +
                          head->mGroup->mState);
      mWorld.mRecord.Add("TWO: " + mBreaches.back());
    }
  }
  wanted.mRank = static_cast<size_t>(
    std::find(wanted.mMembers.begin(), wanted.mMembers.end(), id) -
    wanted.mMembers.begin());
  wanted.mState = "joining";
  aEngine.mMaxEpoch = wanted.mKey.mEpoch;
  ++aEngine.mSequence;
  const bool isStaged =
    std::find(aEngine.mStaged.begin(), aEngine.mStaged.end(), wanted.mModel) !=
    aEngine.mStaged.end();
  const int time = !isStaged                             ? mLoadMillis
                   : aEngine.mLastModel == wanted.mModel ? 200
                                                         : mWarmMillis;
  aEngine.mLastModel = wanted.mModel;
  aEngine.mGroup = wanted;
  Report(aEngine);
  Later(time,
        [this, &aEngine, wanted, life = aEngine.mWorker->mLife.load()] {
          if (aEngine.mWorker->mLife != life) {
            return;
          }
          if (std::find(aEngine.mStaged.begin(),
                        aEngine.mStaged.end(),
                        wanted.mModel) == aEngine.mStaged.end()) {
            aEngine.mStaged = { wanted.mModel };
          }
          if (aEngine.mGroup && aEngine.mGroup->mKey == wanted.mKey &&
              aEngine.mGroup->mState == "joining") {
            aEngine.mGroup->mState = "ready";
          }
          Report(aEngine);
        });
  return 202;
}

Json::Value
EngineService(const std::string& aName, int aSize, double aLoadS, double aWarmS)
{
  Json::Value service;
  service["name"] = aName;
  service["health_path"] = "/healthz";
  Json::Value& engine = service["engine"];
  engine["slots"] = 26;
  engine["kv_tokens"] = 1590000;
  engine["stride"] = 7;
  engine["step_ms"] = 5.95;
  engine["per_seq_ms"] = 0.0445;
  engine["context_per_k"] = 0.00813;
  engine["read_per_s"] = 50700.0;
  engine["pairs_per_m"] = 0.368;
  engine["chunk"] = 2048;
  engine["report_lag_ms"] = 200.0;
  engine["loads_per_s"] = 4.5;
  engine["loads_at_once"] = 6;
  engine["keeps"] = 1;
  engine["far_x"] = 4.0;
  engine["form_ms"] = kFormMillis;
  engine["usual"]["prompt"] = 1115;
  engine["usual"]["answer"] = 178;
  Json::Value model;
  model["name"] = "m1";
  model["size"] = aSize;
  model["share"] = 1.0;
  model["pace"] = 1.0;
  model["load_s"] = aLoadS;
  model["warm_s"] = aWarmS;
  engine["models"].append(model);
  return service;
}

} // namespace review
