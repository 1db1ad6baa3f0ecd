// Three nodes of a zone are replaced for good, one after the other. Later all
// nodes are killed once, and some workers are replaced.

#include "engines.hpp"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

constexpr int kRecoverMillis = 12000;

int
Play(World& world, Record& record)
{
  static Engines engines(
    world, "testi", 6, 500, 4000,
    [](Worker& aWorker, const Run& aRun, Channel& aOut) {
      if (!engines.IsWhole(aWorker.Id())) {
        Sleep(6000);
        aOut.Send("HTTP/1.1 503 Broken\r\nRequest-Id: " + aRun.mId +
                  "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      aOut.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + aRun.mId +
                "\r\nServer-Stamp: " + aWorker.Stamp() +
                "\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
      for (int n = 1; n <= 5; ++n) {
        const std::string event =
          "id: " + std::to_string(n) + "\ndata: a few words\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        Sleep(40);
        aOut.Send(size + event + "\r\n");
      }
      aOut.Send("0\r\n\r\n");
    });
  const auto makeConfig = [](uint64_t aVersion) {
    Json::Value route = MakeRoute(
      "draft", "/draft/", "testi", "streaming", 5000, 300, 2);
    route["resumable"] = true;
    route["sticky"] = true;
    Json::Value config =
      MakeConfig(aVersion, { route }, {}, { { "key-fair", "fair" } });
    config["services"].append(EngineService("testi", 3, 4.0, 0.5));
    return config;
  };
  world.PutConfig(makeConfig(7));
  world.StartNodes();
  Sleep(6000);

  struct Request
  {
    int64_t mSentAt;
    bool mIsServed;
  };
  static std::mutex lock;
  static std::vector<Request> requests;
  static std::vector<int> ports; // of the nodes that run
  static std::atomic<bool> stopping{ false };
  static std::atomic<size_t> nextId{ 0 };
  const auto setPorts = [&](size_t aFrom) {
    const std::lock_guard guard(lock);
    ports.clear();
    for (size_t n = aFrom; n < world.mNodes.size(); ++n) {
      ports.push_back(world.mNodes[n]->CallerPort());
    }
  };
  setPorts(0);
  std::vector<std::thread> clients;
  for (size_t n = 0; n < 6; ++n) {
    clients.emplace_back([&, n] {
      for (size_t i = n; !stopping; ++i) {
        int port = 0;
        {
          const std::lock_guard guard(lock);
          port = ports[i % ports.size()];
        }
        const std::string id = "request-" + std::to_string(++nextId);
        const int64_t sentAt = record.Time().Now();
        bool isServed = false;
        if (const auto channel = Channel::Open(Host(), port)) {
          channel->Send(MakeRequest("POST",
                                    "/draft/x",
                                    id,
                                    5000,
                                    "key-fair",
                                    { { "Model", "m1" },
                                      { "Token-Counts", "900,35" },
                                      { "Prompt-Prefix",
                                        "5c1e07a2:40,91bd3f06:860" } },
                                    "text"));
          const Got got = ReadAnswer(*channel, 6000);
          isServed = got.mStatus == 200 && got.mIsWhole;
          record.Add("client gets " + std::to_string(got.mStatus) + " for " +
                     id);
        }
        {
          const std::lock_guard guard(lock);
          requests.push_back({ sentAt, isServed });
        }
        Sleep(250);
      }
    });
  }
  Sleep(3000);
  size_t first = 0;
  for (size_t n = 0; n < 3; ++n) {
    if (!IsCalm()) {
      record.Add("node front-" + std::to_string(n + 1) + " is gone for good");
      world.mNodes[n]->Kill();
      setPorts(++first);
      Sleep(2000);
      world.AddNode("front-" + std::to_string(n + 5), "zone-1");
    }
    Sleep(4000);
    setPorts(first);
  }
  Sleep(4000);
  record.Add("final fault: a config, and all nodes are killed");
  const int64_t faultAt = record.Time().Now();
  world.PutConfig(makeConfig(9));
  for (size_t n = first; n < world.mNodes.size(); ++n) {
    world.mNodes[n]->Kill();
  }
  Sleep(1000);
  for (size_t n = first; n < world.mNodes.size(); ++n) {
    world.mNodes[n]->Start(false);
  }
  const int64_t backAt = record.Time().Now();
  record.Add("all nodes are back");
  Sleep(4000);
  for (const size_t n : { size_t(0), size_t(3) }) {
    engines.Add();
    record.Add("another worker starts");
    Sleep(1000);
    engines.Drain(*engines.mEngines[n]);
    Sleep(3000);
  }
  Sleep(28000);
  stopping = true;
  for (auto& it : clients) {
    it.join();
  }
  const std::lock_guard guard(lock);
  size_t before = 0;
  size_t beforeServed = 0;
  size_t after = 0;
  size_t afterServed = 0;
  size_t last = 0;
  size_t lastServed = 0;
  const int64_t end = record.Time().Now();
  for (const Request& it : requests) {
    if (it.mSentAt < faultAt) {
      ++before;
      beforeServed += it.mIsServed ? 1 : 0;
    } else if (it.mSentAt > backAt + kRecoverMillis) {
      ++after;
      afterServed += it.mIsServed ? 1 : 0;
      const bool isLast = it.mSentAt > end - 10000;
      last += isLast ? 1 : 0;
      lastServed += isLast && it.mIsServed ? 1 : 0;
    }
  }
  const std::string result =
    "served before the final fault " + std::to_string(beforeServed) + " of " +
    std::to_string(before) + "; RECOVER: sent later than 12 s after the nodes "
    "were back, served " + std::to_string(afterServed) + " of " +
    std::to_string(after) + "; in the last 10 s " + std::to_string(lastServed) +
    " of " + std::to_string(last);
  record.Add(result);
  std::cout << result << "\n";
  if (beforeServed * 4 < before || after < 50) {
    return 2;
  }
  return afterServed * 4 < after ? 1 : 0;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 4, 1, Play);
}
