/// Workers leave, one after the other (planned work), while five of the
/// planner's orders get no answer and are carried out five seconds later. One
/// node, five workers of the engine service.

#include "../standin/client.hpp"

using namespace kit;

namespace {

constexpr int64_t kFirstLeavesAt = 12000;
constexpr int64_t kEndAt = 30000;
/// The second worker reports draining this long after the head of the new group
/// has begun to open.
constexpr int kSecondLeavesAfterMs = 100;
/// How long a worker serves on after it has reported draining.
constexpr int kDrainMs = 2500;
constexpr int kLateMs = 5000;

} // namespace

int
main()
{
  const bool trouble = HasTrouble();
  Record record("review/4/record.txt");
  const std::string folder = MakeFolder();
  Runs runs;
  Seen seen;
  Store store;
  store.Put("config", "main", ConfigText());
  EngineFleet engines(store, record, runs);
  for (const char* it : { "i-a1", "i-b2", "i-c3", "i-d4", "i-e5" }) {
    engines.Add(it);
  }
  Node node("front-1", folder, store.Address(), record);
  node.Start(true);
  while (NowMs() < 10000 && (!node.IsReady() || engines.OpenGroup().empty())) {
    SleepMs(200);
  }
  const std::vector<std::string> members = engines.OpenGroup();
  if (!node.IsReady() || members.size() != 3) {
    record.Line("the system didn't get ready");
    return 2;
  }
  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i) {
    clients.emplace_back([&] {
      Client client(node.CallersPort(), runs, record, seen);
      while (!stop) {
        client.Send("POST",
                    "/draft/1",
                    "Model: model-a\r\nToken-Counts: 700,35\r\nPrompt-Prefix: "
                    "5c1e07a2:40,91bd3f06:660\r\n",
                    "text",
                    8000);
        SleepMs(200);
      }
    });
  }
  SleepUntil(kFirstLeavesAt);

  // Guarded by the fleet's lock, under which the rules are called.
  std::string head;                     // of the group that is formed anew
  std::string group;                    // its name
  std::string third;                    // its member that stays
  std::map<std::string, size_t> orders; // to the workers, once it opens
  std::atomic<bool> secondLeaves{ false };
  std::atomic<bool> hasThird{ false };
  engines.SetDoneRule([&](const std::string& aWorker,
                          const std::string& aOperation,
                          const std::string& aGroup) {
    if (aOperation == "open" && head.empty()) {
      head = aWorker;
      group = aGroup;
      secondLeaves = true;
    }
  });
  engines.SetLateRule([&](const std::string& aWorker,
                          const std::string& aOperation,
                          const std::string& aGroup) -> std::optional<int> {
    if (!trouble || head.empty() || !secondLeaves) {
      return std::nullopt;
    }
    // Five orders: the first to leave, the first to close and the first two
    // joins of the head, and the first join of the member that stays.
    const size_t n = ++orders[aWorker + " " + aOperation];
    const bool headLeaves = aWorker == head && n == 1 &&
                            (aOperation == "leave" || aOperation == "close");
    const bool headJoins = aWorker == head && aOperation == "join" && n <= 2;
    const bool thirdJoins = aWorker == third && aOperation == "join" && n == 1;
    (void)aGroup;
    return headLeaves || headJoins || thirdJoins ? std::optional(kLateMs)
                                                 : std::nullopt;
  });

  engines.Drain(members[1]);
  std::thread([&] {
    SleepMs(kDrainMs);
    engines.End(members[1]);
  }).detach();
  std::string second;
  while (NowMs() < kEndAt) {
    if (secondLeaves && second.empty()) {
      // The new group has the members that stayed and a spare.
      second = members[2];
      third = "i-d4";
      hasThird = true;
      SleepMs(kSecondLeavesAfterMs);
      engines.Drain(second);
      std::thread([&] {
        SleepMs(kDrainMs);
        engines.End(second);
      }).detach();
    }
    if (node.TakeEnd()) {
      return 2;
    }
    SleepMs(5);
  }
  stop = true;
  for (std::thread& it : clients) {
    it.join();
  }
  const bool broken = engines.Broken() > 0;
  record.Line("%zu orders, %zu of them late; %zu requests sent, %zu served",
              engines.Orders(),
              engines.LateOrders(),
              seen.mSent.load(),
              seen.mServed.load());
  record.Line(broken ? "TWO is broken" : "TWO held");
  std::printf(
    "%zu orders, %zu of them late; %zu requests sent, %zu served; TWO "
    "%s\n",
    engines.Orders(),
    engines.LateOrders(),
    seen.mSent.load(),
    seen.mServed.load(),
    broken ? "is broken" : "held");
  std::fflush(stdout);
  node.End();
  const std::string remove = "rm -rf '" + folder + "'";
  if (std::getenv("KEEP") == nullptr && std::system(remove.c_str()) != 0) {
    std::perror("rm");
  }
  std::_Exit(secondLeaves ? (broken ? 1 : 0) : 2);
}
