/// An odd entry among those of the workers: another writer's entry, of which
/// one number is too large. Three nodes serve requests of 48 clients on
/// kept channels; five workers form a group, two serve the plain service.

#include "../standin/client.hpp"

using namespace kit;

namespace {

constexpr int64_t kTroubleAt = 14000;
constexpr int64_t kEndAt = 34000;
constexpr int kRestartMs = 1000;
constexpr size_t kClientsPerNode = 16;
constexpr int kWorkMs = 3000;
/// A client waits this long after an attempt that has failed.
constexpr int kPauseMs = 300;

/// Like a worker's entry, but for the rank in its group.
const char* const kOddEntry =
  R"({"service":"drafting","addr":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":26,"state":"ready","cold_left_ms":0,"stage":"unified","models":[{"name":"model-a","version":1,"adapters":[]}],"staged":["model-a"],"domain":"domain-1","group":{"name":"x1","epoch":1,"rank":4294967295,"state":"ready"},"born":1764900000000,"seq":1})";

} // namespace

int
main()
{
  const bool trouble = HasTrouble();
  Record record("review/1/record.txt");
  const std::string folder = MakeFolder();
  Runs runs;
  Store store;
  store.Put("config", "main", ConfigText());
  EngineFleet engines(store, record, runs);
  for (const char* it : { "i-a1", "i-b2", "i-c3", "i-d4", "i-e5" }) {
    engines.Add(it);
  }
  PlainWorker first("i-p1", "ledger", kWorkMs, store, record, runs);
  PlainWorker second("i-p2", "ledger", kWorkMs, store, record, runs);
  std::vector<std::unique_ptr<Node>> nodes;
  for (const char* it : { "front-1", "front-2", "front-3" }) {
    nodes.push_back(
      std::make_unique<Node>(it, folder, store.Address(), record));
    nodes.back()->Start(true);
  }
  const auto isReady = [&] {
    return std::all_of(
      nodes.begin(), nodes.end(), [](const auto& it) { return it->IsReady(); });
  };
  while (NowMs() < 10000 && (!isReady() || engines.OpenGroup().empty())) {
    SleepMs(200);
  }
  if (!isReady() || engines.OpenGroup().empty()) {
    record.Line("the system didn't get ready");
    return 2;
  }
  Seen seen;
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (const auto& node : nodes) {
    for (size_t i = 0; i < kClientsPerNode; ++i) {
      clients.emplace_back([&, port = node->CallersPort()] {
        Client client(port, runs, record, seen);
        while (!stop) {
          const Outcome outcome =
            client.Send("POST", "/order/1", "", "badge", 4000);
          SleepMs(outcome.mStatus == 200 ? 0 : kPauseMs);
        }
      });
    }
  }
  SleepUntil(kTroubleAt);
  if (trouble) {
    record.Line("another writer leaves the entry servers/odd: %s", kOddEntry);
    store.Put("servers", "odd", kOddEntry);
  }
  size_t ends = 0;
  std::map<std::string, int64_t> restartAt;
  while (NowMs() < kEndAt) {
    for (const auto& it : nodes) {
      if (it->TakeEnd()) {
        ++ends;
        restartAt[it->Id()] = NowMs() + kRestartMs;
      }
      if (!it->IsRunning() && NowMs() >= restartAt[it->Id()]) {
        it->Start(false);
      }
    }
    SleepMs(50);
  }
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  // LOST: more than three requests of kept channels were passed on to a sound
  // worker, and their channels closed without an answer. Processes that end by
  // themselves are in touch all the while.
  const bool broken = seen.mLostAtWork > 3;
  std::ostringstream text;
  text << seen.mSent << " sent, " << seen.mServed << " served, "
       << seen.mRefused << " refused, " << seen.mFailed << " failed, "
       << seen.mLostAtWork
       << " closed without an answer while a worker had it; " << ends
       << " processes ended by themselves; LOST "
       << (broken ? "is broken" : "held");
  record.Line("%s", text.str().c_str());
  std::printf("%s\n", text.str().c_str());
  std::fflush(stdout);
  for (const auto& it : nodes) {
    it->End();
  }
  const std::string remove = "rm -rf '" + folder + "'";
  if (std::getenv("KEEP") == nullptr && std::system(remove.c_str()) != 0) {
    std::perror("rm");
  }
  std::_Exit(broken ? 1 : 0);
}
