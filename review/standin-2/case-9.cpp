// A request ends each worker that begins to run it; all nodes are killed at the
// same moment, and the request comes again.

#include "world.hpp"

#include <algorithm>
#include <iostream>
#include <csignal>

using namespace review;

namespace {

constexpr int kTouchMillis = 3000;

int
Play(World& world, Record& record)
{
  static std::mutex lock;
  static std::vector<int64_t> crashes; // times at which the request ended one
  static std::atomic<size_t> lost{ 0 };
  static const Answer answer =
    [&](Worker& aWorker, const Run& aRun, Channel& aChannel) {
      const uint64_t life = aWorker.mLife;
      if (aRun.mUri == "/lookup/poison") {
        Sleep(5);
        {
          const std::lock_guard guard(lock);
          crashes.push_back(record.Time().Now());
        }
        record.Add("worker " + aWorker.Id() + " ends by request " + aRun.mId);
        aWorker.Crash();
        std::thread([&aWorker] {
          Sleep(2500);
          aWorker.Restart();
          aWorker.Report();
        }).detach();
        return;
      }
      Sleep(60);
      if (aWorker.mLife != life) {
        ++lost;
        record.Add("request " + aRun.mId + " is cut with " + aWorker.Id());
        return;
      }
      aChannel.Send(WholeAnswer(aWorker, aRun, 200, "done " + aRun.mId));
    };
  static std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 1; n <= 8; ++n) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(n),
                                               "ledger",
                                               "zone-" + std::to_string(n % 3 + 1),
                                               world.mStore,
                                               record,
                                               answer));
    workers.back()->Report();
  }
  world.PutConfig(MakeConfig(
    7,
    { MakeRoute("lookup", "/lookup/", "ledger", "idempotent", 2000, 300, 2),
      MakeRoute("order", "/order/", "ledger", "non_idempotent", 2000, 300, 1) },
    { "ledger" },
    { { "key-fair", "fair" } }));
  world.StartNodes();
  Sleep(3500);

  static std::atomic<bool> stopping{ false };
  static std::atomic<size_t> sent{ 0 };
  static std::atomic<size_t> served{ 0 };
  std::vector<std::thread> clients;
  for (size_t n = 0; n < 12; ++n) {
    clients.emplace_back([&, n] {
      for (int i = 0; !stopping; ++i) {
        const auto channel =
          Channel::Open(Host(), world.mNodes[n % 3]->CallerPort());
        if (channel != nullptr) {
          ++sent;
          channel->Send(MakeRequest("POST",
                                    "/order/x",
                                    "o" + std::to_string(n) + "-" +
                                      std::to_string(i),
                                    2000,
                                    "key-fair",
                                    {},
                                    "amount=1"));
          const Got got = ReadAnswer(*channel, 2500);
          served += got.mStatus == 200 && got.mIsWhole ? 1 : 0;
        }
        Sleep(200);
      }
    });
  }
  static size_t id = 0;
  const auto ask = [&](int aTimes) {
    for (int n = 0; n < aTimes; ++n) {
      std::thread([&world, &record, n = ++id] {
        const auto channel =
          Channel::Open(Host(), world.mNodes[n % 3]->CallerPort());
        if (channel == nullptr) {
          return;
        }
        const std::string name = "poison-" + std::to_string(n);
        channel->Send(MakeRequest(
          "GET", "/lookup/poison", name, 2000, "key-fair", {}, ""));
        const Got got = ReadAnswer(*channel, 2500);
        record.Add("client gets " + std::to_string(got.mStatus) + " for " +
                   name);
      }).detach();
      Sleep(400);
    }
  };
  ask(15);
  int64_t third = 0;
  {
    const std::lock_guard guard(lock);
    if (crashes.size() < 3) {
      std::cout << "the request ended too few workers\n";
      return 2;
    }
    third = crashes[2];
  }
  if (!IsCalm()) {
    record.Add("all nodes are killed");
    for (const auto& it : world.mNodes) {
      it->Kill();
    }
    Sleep(500);
    for (const auto& it : world.mNodes) {
      it->Start(false);
    }
    if (!AwaitReady(world.mNodes, 15000)) {
      std::cout << "the nodes aren't ready again\n";
      return 2;
    }
    record.Add("all nodes are ready again");
  }
  Sleep(kTouchMillis + 1000);
  record.Add("the request comes again");
  const int64_t again = record.Time().Now();
  ask(20);
  Sleep(1000);
  stopping = true;
  for (auto& it : clients) {
    it.join();
  }
  const std::lock_guard guard(lock);
  const auto after = std::count_if(
    crashes.begin(), crashes.end(), [&](int64_t it) {
      return it > third + kTouchMillis && it >= again;
    });
  const std::string result =
    "workers ended before " + std::to_string(crashes.size() - static_cast<size_t>(after)) +
    ", BUDGET: reached workers later than touch_ms after the third end, from "
    "nodes in touch, " +
    std::to_string(after) + " times (3 allowed); orders sent " +
    std::to_string(sent) + ", served " + std::to_string(served) +
    ", cut with a worker " + std::to_string(lost);
  record.Add(result);
  std::cout << result << "\n";
  return after > 3 ? 1 : 0;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 3, 3, Play);
}
