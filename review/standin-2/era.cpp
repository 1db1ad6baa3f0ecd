// A key is taken away; the store returns from an older copy, and a node that starts
// then reads the config that still has the key.

#include "world.hpp"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

int
Play(World& world, Record& record)
{
  const char* text = std::getenv("REWRITE_MS");
  const int rewriteMillis = text == nullptr ? 4000 : std::atoi(text);
  static std::mutex lock;
  static std::map<std::string, bool> ran;
  static std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 1; n <= 4; ++n) {
    workers.push_back(std::make_unique<Worker>(
      "i-" + std::to_string(n), "ledger", "zone-1", world.mStore, record,
      [](Worker& aWorker, const Run& aRun, Channel& aChannel) {
        {
          const std::lock_guard guard(lock);
          ran[aRun.mId] = true;
        }
        aChannel.Send(WholeAnswer(aWorker, aRun, 200, "row"));
      }));
    workers.back()->Report();
  }
  const auto makeConfig = [](uint64_t aVersion, bool aHasOld) {
    std::vector<std::pair<std::string, std::string>> keys{ { "key-new", "fair" } };
    if (aHasOld) {
      keys.push_back({ "key-old", "rival" });
    }
    return MakeConfig(
      aVersion,
      { MakeRoute("lookup", "/lookup/", "ledger", "idempotent", 2000, 300, 2) },
      { "ledger" },
      keys);
  };
  world.PutConfig(makeConfig(7, true));
  world.StartNodes();
  Sleep(4000);
  world.PutConfig(makeConfig(9, false));
  const int64_t ackedAt = record.Time().Now();
  static std::atomic<bool> stopping{ false };
  static std::vector<std::pair<int64_t, std::string>> sent;
  std::thread client([&] {
    for (size_t n = 0; !stopping; ++n) {
      const std::string id = "request-" + std::to_string(n);
      const int64_t at = record.Time().Now();
      if (const auto channel =
            Channel::Open(Host(), world.mNodes[0]->CallerPort())) {
        channel->Send(
          MakeRequest("GET", "/lookup/x", id, 2000, "key-old", {}, ""));
        const Got got = ReadAnswer(*channel, 2500);
        record.Add("client with the key taken away gets " +
                   std::to_string(got.mStatus) + " for " + id);
        const std::lock_guard guard(lock);
        sent.emplace_back(at, id);
      }
      Sleep(50);
    }
  });
  Sleep(3000);
  if (!IsCalm()) {
    for (const auto& it : world.mPorts) {
      it->SetAccess(StoreAccess::Busy);
    }
    world.mNodes[0]->Kill();
    Sleep(300);
    world.mStore.ReturnTo(ackedAt - 500);
    for (const auto& it : world.mPorts) {
      it->SetAccess(StoreAccess::Open);
    }
    world.mNodes[0]->Start(false);
    record.Add("the store is back from a copy 3.8 s old; front-1 starts");
    Sleep(rewriteMillis);
    world.PutConfig(makeConfig(9, false));
    record.Add("the operator has written again");
  }
  Sleep(3000);
  stopping = true;
  client.join();
  const std::lock_guard guard(lock);
  size_t broken = 0;
  int64_t latest = 0;
  for (const auto& [at, id] : sent) {
    if (at > ackedAt + 5000 && ran.contains(id)) {
      ++broken;
      latest = std::max(latest, at - ackedAt);
    }
  }
  std::cout << "requests sent " << sent.size() << ", CONFIG: run with a key sent later than 5,000 ms after it was taken away "
            << broken << ", the latest " << latest << " ms after\n";
  return broken > 0 ? 1 : 0;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 2, 1, Play);
}
