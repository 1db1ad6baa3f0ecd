#include "world.hpp"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>

namespace review {

namespace {

uint64_t
UnixMillis()
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

std::string
MakeFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return path;
}

} // namespace

Worker::Worker(std::string aId,
               std::string aService,
               std::string aZone,
               Store& aStore,
               Record& aRecord,
               Answer aAnswer)
  : mBorn(UnixMillis())
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mStore(aStore)
  , mRecord(aRecord)
  , mAnswer(std::move(aAnswer))
  , mListener(Host(), [this](Channel& aChannel) { Serve(aChannel); })
{
}

std::string
Worker::Address() const
{
  return Host() + ":" + std::to_string(mListener.Port());
}

void
Worker::Report()
{
  Json::Value entry = mExtra;
  entry["service"] = mService;
  entry["addr"] = Address();
  entry["zone"] = mZone;
  entry["version"] = 1;
  entry["slots"] = 26;
  entry["state"] = mState;
  entry["seq"] = Json::UInt64(mSequence);
  entry["born"] = Json::UInt64(mBorn);
  mStore.Put("servers", mId, entry, std::nullopt);
}

void
Worker::RemoveEntry()
{
  mStore.Delete("servers", mId, std::nullopt);
}

void
Worker::Crash()
{
  const std::lock_guard guard(mLock);
  mIsDown = true;
  ++mLife;
  for (const int it : mSockets) {
    const linger now{ 1, 0 };
    setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(it, SHUT_RDWR);
  }
}

void
Worker::Restart()
{
  mBorn = UnixMillis();
  mSequence = 1;
  mIsDown = false;
}

void
Worker::Serve(Channel& aChannel)
{
  uint64_t life = 0;
  const int fd = aChannel.Socket();
  {
    const std::lock_guard guard(mLock);
    if (mIsDown) {
      aChannel.Reset();
      return;
    }
    life = mLife;
    mSockets.insert(fd);
  }
  ServeRequests(aChannel, life);
  const std::lock_guard guard(mLock);
  mSockets.erase(fd);
  if (mLife != life && aChannel.Socket() >= 0) {
    aChannel.Reset();
  } else {
    aChannel.Close();
  }
}

void
Worker::ServeRequests(Channel& aChannel, uint64_t aLife)
{
  std::string lastAnswer;
  while (mLife == aLife) {
    const std::optional<Head> head = aChannel.ReadHead(30000);
    if (!head || mLife != aLife) {
      return;
    }
    const std::optional<std::string> body =
      aChannel.ReadBody(*head, false, 30000);
    if (!body) {
      return;
    }
    const size_t space = head->mFirstLine.find(' ');
    Run run{ head->mFirstLine.substr(0, space),
             head->mFirstLine.substr(
               space + 1, head->mFirstLine.rfind(' ') - space - 1),
             head->Get("Request-Id"),
             *head,
             *body };
    const auto refuse = [&](int aStatus, const char* aWhy) {
      aChannel.Send("HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\n" +
                    (run.mId.empty() ? "" : "Request-Id: " + run.mId + "\r\n") +
                    "Not-Run: 1\r\nInstance-Id: " + mId +
                    "\r\nContent-Length: 0\r\n\r\n");
      mRecord.Add("worker " + mId + " refuses " + run.mMethod + " " + run.mUri +
                  " id=" + run.mId + ": " + aWhy);
    };
    if (run.mMethod == "GET" && run.mUri == "/healthz") {
      aChannel.Send("HTTP/1.1 200 OK\r\nInstance-Id: " + mId +
                    "\r\nCold-Ms: " + std::to_string(mColdMillis()) +
                    "\r\nContent-Length: 0\r\n\r\n");
      mRecord.Add("worker " + mId + " is asked for its health");
      continue;
    }
    if (mControl && run.mUri.starts_with("/v1/") &&
        (!head->Has("Expect-Instance") ||
         head->Get("Expect-Instance") == mId)) {
      const std::string answer = mControl(run, aChannel, lastAnswer);
      if (mLife != aLife || !aChannel.Send(answer)) {
        return;
      }
      lastAnswer = answer;
      continue;
    }
    if (run.mId.empty()) {
      refuse(400, "no id");
      continue;
    }
    if (head->Has("Expect-Instance") && head->Get("Expect-Instance") != mId) {
      refuse(421, "another instance is expected");
      continue;
    }
    std::string tenants;
    for (const auto& [name, value] : head->mFields) {
      if (strcasecmp(name.c_str(), "Tenant") == 0) {
        tenants += (tenants.empty() ? "" : ",") + value;
      }
    }
    mRecord.Add("worker " + mId + " runs " + run.mMethod + " " + run.mUri +
                " id=" + run.mId + " tenant=" + tenants +
                " last=" + head->Get("Last-Event-Id"));
    mAnswer(*this, run, aChannel);
    if (aChannel.Socket() < 0) {
      return;
    }
  }
}

std::string
WholeAnswer(const Worker& aWorker,
            const Run& aRun,
            int aStatus,
            const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Answer\r\nRequest-Id: " + aRun.mId +
         "\r\nServer-Stamp: " + aWorker.Stamp() +
         "\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aService,
          const std::string& aKind,
          int aTimeoutMillis,
          int aSloMillis,
          int aAttempts)
{
  Json::Value route;
  route["name"] = aName;
  route["host"] = kSite;
  route["path_prefix"] = aPrefix;
  route["service"] = aService;
  route["kind"] = aKind;
  route["timeout_ms"] = aTimeoutMillis;
  route["slo_ms"] = aSloMillis;
  route["attempts"] = aAttempts;
  route["priority"] = 1;
  return route;
}

Json::Value
MakeConfig(uint64_t aVersion,
           const std::vector<Json::Value>& aRoutes,
           const std::vector<std::string>& aServices,
           const std::vector<std::pair<std::string, std::string>>& aKeys)
{
  Json::Value config;
  config["version"] = Json::UInt64(aVersion);
  for (const Json::Value& it : aRoutes) {
    config["routes"].append(it);
  }
  for (const std::string& it : aServices) {
    Json::Value service;
    service["name"] = it;
    service["health_path"] = "/healthz";
    config["services"].append(service);
  }
  for (const auto& [key, tenant] : aKeys) {
    Json::Value entry;
    entry["name"] = tenant;
    entry["priority"] = 1;
    entry["keys"].append(key);
    config["tenants"].append(entry);
  }
  config["limits"]["header_bytes"] = 8192;
  config["limits"]["max_body_bytes"] = 1048576;
  config["limits"]["header_timeout_ms"] = 3000;
  config["limits"]["idle_ms"] = 15000;
  return config;
}

World::World(Record& aRecord, size_t aNodes, size_t aZones)
  : mRecord(aRecord)
  , mFolder(MakeFolder())
  , mStore(aRecord.Time(), 3, 1000)
{
  for (size_t n = 0; n < aNodes; ++n) {
    mPorts.push_back(std::make_unique<StorePort>(mStore, aRecord.Time()));
    mNodes.push_back(std::make_unique<Node>(
      Node::Options{ "front-" + std::to_string(n + 1),
                     "zone-" + std::to_string(n % aZones + 1),
                     mFolder,
                     mPorts[n]->Address(),
                     {} }));
  }
}

void
World::Stop()
{
  for (const auto& it : mNodes) {
    it->Kill();
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

void
RunCase(const std::string& aRecordPath,
        size_t aNodes,
        size_t aZones,
        const std::function<int(World&, Record&)>& aPlay)
{
  int result = 2;
  try {
    auto* record = new Record(aRecordPath);
    auto* world = new World(*record, aNodes, aZones);
    try {
      result = aPlay(*world, *record);
    } catch (const std::exception& e) {
      std::cout << e.what() << "\n";
    }
    world->Stop();
  } catch (const std::exception& e) {
    std::cout << e.what() << "\n";
  }
  std::cout.flush();
  std::_Exit(result);
}

void
World::StartNodes()
{
  for (const auto& it : mNodes) {
    it->Start(true);
  }
  if (!AwaitReady(mNodes, 20000)) {
    throw std::runtime_error("the nodes aren't ready");
  }
  mRecord.Add("all nodes are ready");
}

void
World::AddNode(const std::string& aName, const std::string& aZone)
{
  mPorts.push_back(std::make_unique<StorePort>(mStore, mRecord.Time()));
  mNodes.push_back(std::make_unique<Node>(
    Node::Options{ aName, aZone, mFolder, mPorts.back()->Address(), {} }));
  mNodes.back()->Start(false);
  mRecord.Add("node " + aName + " starts");
}

void
World::PutConfig(const Json::Value& aConfig)
{
  mStore.Put("config", "main", aConfig, std::nullopt);
  mRecord.Add("config version " + aConfig["version"].asString() +
              " is acknowledged");
}

Got
ReadAnswer(Channel& aChannel, int aMillis)
{
  Got got;
  const std::optional<Head> head = aChannel.ReadHead(aMillis);
  if (!head || !head->mFirstLine.starts_with("HTTP/1.1 ")) {
    return got;
  }
  got.mHead = *head;
  got.mStatus = std::atoi(head->mFirstLine.c_str() + 9);
  const std::optional<std::string> body =
    aChannel.ReadBody(*head, true, aMillis);
  got.mIsWhole = body.has_value();
  got.mBody = body.value_or("");
  return got;
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aUri,
            const std::string& aId,
            int aDeadlineMillis,
            const std::string& aKey,
            const Fields& aFields,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aUri + " HTTP/1.1\r\nHost: " + kSite +
                     "\r\nRequest-Id: " + aId +
                     "\r\nDeadline-Ms: " + std::to_string(aDeadlineMillis) +
                     "\r\n";
  if (!aKey.empty()) {
    text += "Authorization: Bearer " + aKey + "\r\n";
  }
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

} // namespace review
