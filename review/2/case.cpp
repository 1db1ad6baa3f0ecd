/// One machine is partitioned from the store for some seconds. Meanwhile a
/// worker that has just been started changes its entry, as it warms, and then
/// its entry is removed. Three nodes, three plain workers.

#include "../standin/client.hpp"

using namespace kit;

namespace {

constexpr int64_t kWorkerStartsAt = 10000;
constexpr int kColdMs = 9600;
constexpr int kBeatMs = 1200;
constexpr int64_t kCutAt = 14000;
constexpr int64_t kCutMs = 5500;
constexpr int64_t kRemovedAt = kCutAt + 3000;
constexpr int64_t kEndAt = 40000;
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kTouchMs = 3000;
constexpr int kDeadlineMs = 4000;
constexpr size_t kClientsPerNode = 4;

} // namespace

int
main()
{
  const bool trouble = HasTrouble();
  Record record("review/2/record.txt");
  const std::string folder = MakeFolder();
  Runs runs;
  Seen seen;
  Store store;
  store.Put("config", "main", ConfigText());
  Link link(store.Port());
  PlainWorker first("i-p1", "ledger", 60, store, record, runs);
  PlainWorker second("i-p2", "ledger", 60, store, record, runs);
  std::vector<std::unique_ptr<Node>> nodes;
  for (const char* it : { "front-1", "front-2", "front-3" }) {
    nodes.push_back(std::make_unique<Node>(
      it, folder, nodes.empty() ? link.Address() : store.Address(), record));
    nodes.back()->Start(true);
  }
  const auto isReady = [&] {
    return std::all_of(
      nodes.begin(), nodes.end(), [](const auto& it) { return it->IsReady(); });
  };
  while (NowMs() < 8000 && !isReady()) {
    SleepMs(200);
  }
  if (!isReady()) {
    record.Line("the system didn't get ready");
    return 2;
  }
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (const auto& node : nodes) {
    for (size_t i = 0; i < kClientsPerNode; ++i) {
      clients.emplace_back([&, port = node->CallersPort()] {
        Client client(port, runs, record, seen);
        while (!stop) {
          client.Send("POST", "/order/1", "", "badge", kDeadlineMs);
          SleepMs(100);
        }
      });
    }
  }
  SleepUntil(kWorkerStartsAt);
  PlainWorker third("i-p3", "ledger", 60, store, record, runs, kColdMs);
  const auto warm = [&](int64_t aUntil) {
    while (NowMs() + kBeatMs < aUntil) {
      SleepMs(kBeatMs);
      third.Report(static_cast<int>(
        std::max<int64_t>(0, kColdMs - (NowMs() - kWorkerStartsAt))));
    }
    SleepUntil(aUntil);
  };
  warm(kCutAt);
  if (trouble) {
    record.Line("front-1 is cut off from the store");
    link.SetCut(true);
  }
  warm(kRemovedAt);
  third.Withdraw();
  SleepUntil(kCutAt + kCutMs);
  if (trouble) {
    record.Line("front-1 reaches the store again");
    link.SetCut(false);
  }
  while (NowMs() < kEndAt) {
    for (const auto& it : nodes) {
      if (it->TakeEnd()) {
        return 2;
      }
    }
    SleepMs(50);
  }
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  // Requests that were sent when all machines had been in touch again, and
  // drain_ms had passed since the removal for long.
  const int64_t judgedFrom =
    std::max(kRemovedAt + kDrainMs, kCutAt + kCutMs + kTouchMs + kDeadlineMs);
  const size_t late = third.ArrivedAfter(judgedFrom);
  record.Line(
    "%zu requests sent, %zu served; %zu reached i-p3 later than %.1f s "
    "after its removal",
    seen.mSent.load(),
    seen.mServed.load(),
    late,
    static_cast<double>(judgedFrom - kRemovedAt) / 1000);
  record.Line(late > 0 ? "DRAIN is broken" : "DRAIN held");
  std::printf("%zu requests sent, %zu served; %zu reached the removed worker "
              "later than %.1f s after its removal; DRAIN %s\n",
              seen.mSent.load(),
              seen.mServed.load(),
              late,
              static_cast<double>(judgedFrom - kRemovedAt) / 1000,
              late > 0 ? "is broken" : "held");
  std::fflush(stdout);
  for (const auto& it : nodes) {
    it->End();
  }
  const std::string remove = "rm -rf '" + folder + "'";
  if (std::getenv("KEEP") == nullptr && std::system(remove.c_str()) != 0) {
    std::perror("rm");
  }
  std::_Exit(late > 0 ? 1 : 0);
}
