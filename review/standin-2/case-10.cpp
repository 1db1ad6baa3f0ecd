// A worker ends and starts again under its id, cold, while the store is down.

#include "world.hpp"

#include <chrono>
#include <cstdlib>
#include <deque>
#include <exception>
#include <iostream>

using namespace review;

namespace {

// As the pages' deployment with cold workers has them.
constexpr double kColdPerSecond = 17;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr int kColdMillis = 3000;
constexpr int kStoreDownMillis = 4500;
constexpr int kDownMillis = 1500;
constexpr int kWorkMillis = 10;
/// Well above what a cold worker tolerates.
constexpr size_t kFatalPerSecond = 4 * 17;

int
Play(World& world, Record& record)
{
  for (auto& it : world.mNodes) {
    it = std::make_unique<Node>(Node::Options{
      "front-" + std::to_string(&it - world.mNodes.data() + 1),
      "zone-" + std::to_string(&it - world.mNodes.data() + 1),
      world.mFolder,
      world.mPorts[static_cast<size_t>(&it - world.mNodes.data())]->Address(),
      { { "limits.cold_factor", "1.5" },
        { "limits.cold_extra_requests", "5" },
        { "limits.leave_within_ms", "3000" },
        { "zones.out_within_ms", "5000" } } });
  }
  static std::mutex lock;
  static std::vector<int64_t> coldArrivals;
  static std::deque<int64_t> lately;
  static std::atomic<int64_t> coldUntil{ 0 };
  static std::atomic<size_t> crashes{ 0 };
  static std::atomic<size_t> runsCut{ 0 };

  static const Answer answer =
    [&](Worker& aWorker, const Run& aRun, Channel& aChannel) {
      const uint64_t life = aWorker.mLife;
      if (aWorker.Id() == "i-1") {
        const int64_t now = record.Time().Now();
        const std::lock_guard guard(lock);
        if (now < coldUntil) {
          coldArrivals.push_back(now);
          lately.push_back(now);
          while (lately.front() <= now - 1000) {
            lately.pop_front();
          }
          if (lately.size() > kFatalPerSecond) {
            record.Add("worker i-1 crashes: " + std::to_string(lately.size()) +
                       " requests in a second while cold");
            lately.clear();
            coldUntil = 0;
            ++crashes;
            aWorker.Crash();
          }
        }
      }
      Sleep(kWorkMillis);
      if (aWorker.mLife != life) {
        ++runsCut;
        return;
      }
      aChannel.Send(WholeAnswer(aWorker, aRun, 200, "row of " + aRun.mId));
    };
  static std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 1; n <= 3; ++n) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(n),
                                               "ledger",
                                               "zone-" + std::to_string(n),
                                               world.mStore,
                                               record,
                                               answer));
    workers.back()->Report();
  }
  workers[0]->mColdMillis = [&] {
    return std::max<int64_t>(0, coldUntil - record.Time().Now());
  };
  Json::Value config = MakeConfig(
    7,
    { MakeRoute("lookup", "/lookup/", "ledger", "idempotent", 2000, 300, 2) },
    { "ledger" },
    { { "key-fair", "fair" } });
  config["services"][0]["cold_per_s"] = kColdPerSecond;
  world.PutConfig(config);
  world.StartNodes();
  Sleep(5000);

  // 96 clients, 5 requests a second each.
  static std::atomic<bool> stopping{ false };
  static std::atomic<size_t> sent{ 0 };
  static std::atomic<size_t> served{ 0 };
  std::vector<std::thread> clients;
  for (int n = 0; n < 96; ++n) {
    clients.emplace_back([&, n] {
      std::unique_ptr<Channel> channel;
      for (int i = 0; !stopping; ++i) {
        if (channel == nullptr) {
          channel = Channel::Open(
            Host(), world.mNodes[static_cast<size_t>(n) % 3]->CallerPort());
        }
        const std::string id =
          "c" + std::to_string(n) + "-" + std::to_string(i);
        ++sent;
        if (channel != nullptr) {
          channel->Send(
            MakeRequest("GET", "/lookup/x", id, 2000, "key-fair", {}, ""));
          const Got got = ReadAnswer(*channel, 2500);
          served += got.mStatus == 200 && got.mIsWhole ? 1 : 0;
          record.Add("client gets " + std::to_string(got.mStatus) + " for " +
                     id);
          if (got.mStatus == 0 || got.mHead.Get("Connection") == "Close") {
            channel.reset();
          }
        }
        Sleep(200 - kWorkMillis);
      }
    });
  }
  Sleep(4000);
  const bool calm = IsCalm();
  if (!calm) {
    for (const auto& it : world.mPorts) {
      it->SetAccess(StoreAccess::Busy);
    }
    record.Add("the store answers 503 for 4.5 s");
  }
  Sleep(300);
  record.Add("worker i-1 ends");
  workers[0]->Crash();
  Sleep(kDownMillis);
  coldUntil = record.Time().Now() + kColdMillis;
  workers[0]->mExtra["cold_left_ms"] = kColdMillis;
  workers[0]->Restart();
  record.Add("worker i-1 starts again under its id, cold for 3 s");
  if (calm) {
    workers[0]->Report();
  }
  Sleep(kStoreDownMillis - 300 - kDownMillis);
  for (const auto& it : world.mPorts) {
    it->SetAccess(StoreAccess::Open);
  }
  workers[0]->mExtra["cold_left_ms"] =
    Json::Int64(workers[0]->mColdMillis());
  workers[0]->Report();
  record.Add("the store is back");
  for (int n = 0; n < 10; ++n) {
    Sleep(200);
    workers[0]->mExtra["cold_left_ms"] =
      Json::Int64(workers[0]->mColdMillis());
    workers[0]->Report();
  }
  stopping = true;
  for (auto& it : clients) {
    it.join();
  }

  const std::lock_guard guard(lock);
  size_t most = 0;
  for (size_t i = 0; i < coldArrivals.size(); ++i) {
    size_t n = 0;
    for (size_t k = i;
         k < coldArrivals.size() && coldArrivals[k] < coldArrivals[i] + 1000;
         ++k) {
      ++n;
    }
    most = std::max(most, n);
  }
  const double allowed = kColdPerSecond * kColdOver + kColdSlack;
  const std::string result =
    "sent " + std::to_string(sent) + ", served " + std::to_string(served) +
    ", FAILBACK: most requests to the cold worker in a second " +
    std::to_string(most) + ", allowed " + std::to_string(allowed) +
    ", crashes of it by that " + std::to_string(crashes) + ", runs cut " +
    std::to_string(runsCut);
  record.Add(result);
  std::cout << result << "\n";
  if (served * 2 < sent) {
    return 2;
  }
  return static_cast<double>(most) > allowed ? 1 : 0;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 3, 3, Play);
}
