// A member of a group ends; the head's answer to an earlier order arrives once
// more when the next order is sent, and the head is silent for a second.

#include "engines.hpp"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

int
Play(World& world, Record& record)
{
  static Engines engines(
    world, "testi", 7, 1100, 1200, [](Worker& aWorker, const Run& aRun, Channel& aOut) {
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
  static std::atomic<bool> armed{ false };
  static std::atomic<size_t> copies{ 0 };
  static std::string headId;
  engines.mOnOrder = [&](Engine& aEngine,
                         const Json::Value& aOrder,
                         const std::string& aLastAnswer) -> std::string {
    if (!armed || aOrder["op"] != "leave" ||
        aEngine.mWorker->Id() != headId || !armed.exchange(false)) {
      return "";
    }
    aEngine.mSilentUntil = record.Time().Now() + 1000;
    record.Add("worker " + headId + " falls silent for a second");
    if (IsCalm() || aLastAnswer.empty()) {
      return "";
    }
    ++copies;
    record.Add("worker " + headId +
               " sends its answer before once more: " +
               aLastAnswer.substr(0, aLastAnswer.find('\r')));
    return aLastAnswer;
  };
  Json::Value config =
    MakeConfig(7,
               { MakeRoute("draft", "/draft/", "testi", "streaming", 8000, 300, 2) },
               {},
               { { "key-fair", "fair" } });
  config["services"].append(EngineService("testi", 3, 12.0, 1.1));
  world.PutConfig(config);
  world.StartNodes();

  // Wait for a group that is open, and for a staged spare.
  Engine* head = nullptr;
  for (int n = 0; n < 300 && head == nullptr; ++n) {
    Sleep(50);
    const std::lock_guard guard(engines.mLock);
    size_t spares = 0;
    Engine* open = nullptr;
    for (const auto& it : engines.mEngines) {
      spares += !it->mStaged.empty() &&
                    (!it->mGroup || it->mGroup->mMembers.size() == 1)
                  ? 1
                  : 0;
      if (it->mGroup && it->mGroup->mState == "open") {
        open = it.get();
      }
    }
    head = spares >= 1 ? open : nullptr;
  }
  if (head == nullptr) {
    std::cout << "no group is open\n";
    return 2;
  }
  headId = head->mWorker->Id();
  // Traffic begins.
  for (const auto& it : world.mNodes) {
    const auto channel = Channel::Open(Host(), it->CallerPort());
    channel->Send(MakeRequest("POST",
                              "/draft/x",
                              "first-" + std::to_string(it->CallerPort()),
                              8000,
                              "key-fair",
                              { { "Model", "m1" },
                                { "Token-Counts", "900,35" },
                                { "Prompt-Prefix", "5c1e07a2:40,91bd3f06:860" } },
                              "text"));
    const Got got = ReadAnswer(*channel, 8000);
    record.Add("client gets " + std::to_string(got.mStatus) +
               (got.mIsWhole ? ", whole" : ""));
  }
  Engine* member = nullptr;
  {
    const std::lock_guard guard(engines.mLock);
    member = engines.Find(head->mGroup->mMembers.back());
  }
  record.Add("head " + headId + ", member to end " + member->mWorker->Id());
  armed = true;
  engines.Crash(*member);
  Sleep(700);
  engines.Restart(*member);
  Sleep(8000);

  const std::lock_guard guard(engines.mLock);
  const std::string result = "copies of an answer sent " +
                             std::to_string(copies) + ", TWO broken " +
                             std::to_string(engines.mBreaches.size()) +
                             " times";
  record.Add(result);
  std::cout << result << "\n";
  for (const std::string& it : engines.mBreaches) {
    std::cout << "  " << it << "\n";
  }
  if (!engines.mBreaches.empty()) {
    return 1;
  }
  return IsCalm() || copies > 0 ? 0 : 2;
}

} // namespace

int
main(int, char** aWords)
{
  RunCase(aWords[1], 3, 3, Play);
}
