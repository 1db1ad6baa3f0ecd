// A node is cut off from the store while the operator changes a large config in
// quick succession. Later it is in touch again: which version does it follow?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kRoutes = 1680; // big_config, largest count named
constexpr int kChanges = 25;  // config_storm, 1.5 s with 0.06 s between
constexpr int64_t kGap = 60;
constexpr int64_t kCutTime = 5500; // core_cut, largest time named
constexpr int64_t kConfigMs = 2000;
constexpr int64_t kTouchMs = 3000;

std::string
RouteText(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aService,
          int aTimeout,
          bool aIsPublic)
{
  return "{\"name\":\"" + aName +
         "\",\"host\":\"shop.example\",\"path_prefix\":\"" + aPrefix +
         "\",\"kind\":\"idempotent\",\"timeout_ms\":" +
         std::to_string(aTimeout) +
         ",\"slo_ms\":300,\"priority\":2,\"service\":\"" + aService +
         "\",\"attempts\":2,\"public\":" + (aIsPublic ? "true" : "false") +
         ",\"sticky\":false,\"resumable\":false,\"gap_slo_ms\":200}";
}

std::string
ConfigText(int aVersion, bool aIsMoved)
{
  std::string routes = RouteText(
    "r-moved", "/moved/", aIsMoved ? "new-app" : "old-app", 4000, true);
  for (int n = 0; n < kRoutes; ++n) {
    const std::string name = std::to_string(1000000 + n);
    routes += "," + RouteText("r-" + name,
                              "/pufi" + name + "/",
                              "old-app",
                              2000 + aVersion % 100,
                              true);
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"old-app\",\"health_path\":\"/healthz\","
         "\"max_conns\":110},{\"name\":\"new-app\",\"health_path\":\"/"
         "healthz\","
         "\"max_conns\":110}],\"limits\":{\"header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_ms\":15000}}";
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount != 3) {
    return 2;
  }
  Rec().Open(aWords[2]);
  Now();
  static Store store;
  static std::unique_ptr<Server> ports[2];
  for (auto& it : ports) {
    it = std::make_unique<Server>([&it](Conn& aConn, const Message& aCall) {
      return store.Handle(aConn, aCall, *it);
    });
  }
  std::mutex lock;
  std::map<std::string, std::string> ranAt; // by id of the request
  const std::string services[] = { "old-app", "new-app" };
  std::vector<std::unique_ptr<Server>> workers;
  for (const std::string& service : services) {
    workers.push_back(std::make_unique<Server>(
      [&lock, &ranAt, service](Conn& aConn, const Message& aRequest) {
        const std::string id = aRequest.Get("Request-Id");
        {
          const std::lock_guard guard(lock);
          ranAt[id] = service;
        }
        const std::string body = service + " ran " + id;
        return aConn.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                          "\r\nServer-Stamp: s-" + service +
                          "\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
      }));
    store.Put(
      "servers",
      "i-" + service,
      EntryOf(
        service, workers.back()->Port(), "z-a", "ready", 1, UnixMillis()));
  }
  int version = 10;
  store.Put("config", "main", ConfigText(version, false));
  Rec().Line("the config has %d routes and %zu bytes",
             kRoutes + 1,
             ConfigText(version, false).size());
  const std::string folder = aWords[1];
  Node first("front-a-1", "z-a", ports[0]->Address(), folder);
  Node second("front-b-1", "z-b", ports[1]->Address(), folder);
  if (!first.AwaitReady(20000) || !second.AwaitReady(20000)) {
    Rec().Line("the nodes don't become ready");
    return 2;
  }
  SleepUntil(std::max<int64_t>(Now() + 2000, 10000));

  const bool trouble = HasTrouble();
  const int64_t cutAt = Now();
  if (trouble) {
    Rec().Line("front-a-1 is cut off from the store");
    ports[0]->SetCut(true);
  }
  SleepUntil(cutAt + 1000);
  int64_t ackAt = 0;
  for (int n = 1; n <= kChanges; ++n) {
    SleepUntil(cutAt + 1000 + n * kGap);
    version += 1 + n % 3;
    store.Put("config", "main", ConfigText(version, n == kChanges));
    ackAt = Now();
  }
  Rec().Line("version %d is acknowledged, which moves /moved/ to new-app; %d "
             "changes were made",
             version,
             kChanges);
  SleepUntil(cutAt + kCutTime);
  const int64_t healedAt = trouble ? Now() : cutAt;
  if (trouble) {
    ports[0]->SetCut(false);
    Rec().Line("front-a-1 reaches the store again");
  }
  const int64_t judgedFrom =
    std::max(ackAt + kConfigMs, healedAt + kTouchMs) + 100;
  int stale[2] = { 0, 0 };
  int asked[2] = { 0, 0 };
  for (int n = 0; Now() < judgedFrom + 15000; ++n) {
    const bool isJudged = Now() >= judgedFrom;
    for (int which = 0; which < 2; ++which) {
      const std::string id =
        "req-" + std::to_string(which) + "-" + std::to_string(n);
      Message reply;
      const bool answered = Ask(which == 0 ? first.mCallers : second.mCallers,
                                RequestText("GET", "/moved/x", id, 4000),
                                4500,
                                reply);
      std::string at;
      {
        const std::lock_guard guard(lock);
        at = ranAt.contains(id) ? ranAt[id] : "-";
      }
      if (isJudged) {
        ++asked[which];
        stale[which] += at == "old-app" ? 1 : 0;
      }
      Rec().Line("%s at %s: answer %d, run by %s%s",
                 id.c_str(),
                 which == 0 ? "front-a-1" : "front-b-1",
                 answered ? reply.Status() : 0,
                 at.c_str(),
                 isJudged ? "" : " (not judged yet)");
    }
    SleepMs(400);
  }
  Rec().Line("front-a-1: %d of %d judged requests were run by the old service",
             stale[0],
             asked[0]);
  Rec().Line("front-b-1: %d of %d judged requests were run by the old service",
             stale[1],
             asked[1]);
  const bool broken = stale[0] + stale[1] > 0;
  Rec().Line("CONFIG %s", broken ? "broken" : "held");
  first.End(SIGKILL);
  second.End(SIGKILL);
  _exit(broken ? 1 : 0);
}
