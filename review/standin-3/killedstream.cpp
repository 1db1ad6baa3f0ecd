// A worker's process is killed between two events of a stream that has neither
// a length nor chunks and ends with its channel. Does the client get a stream
// that ends as complete before its last piece?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kPieces = 20;
constexpr int64_t kPieceMs = 40;
constexpr int kRounds = 10;

std::string
Event(const std::string& aId, int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " +
         std::to_string(aNumber) + " of " + std::to_string(kPieces) + " for " +
         aId + "\n\n";
}

std::string
WholeBody(const std::string& aId)
{
  std::string body;
  for (int n = 1; n <= kPieces; ++n) {
    body += Event(aId, n);
  }
  return body;
}

/// A worker in a process of its own. It tells its port on the standard output.
int
RunWorker(const std::string& aId)
{
  std::signal(SIGPIPE, SIG_IGN);
  Server server([&aId](Conn& aConn, const Message& aRequest) {
    const std::string id = aRequest.Get("Request-Id");
    const std::string expected = aRequest.Get("Expect-Instance");
    if (!expected.empty() && expected != aId) {
      aConn.Send("HTTP/1.1 421 Misdirected\r\nRequest-Id: " + id +
                 "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    std::printf("%s\n", id.c_str());
    std::fflush(stdout);
    if (!aConn.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                    "\r\nServer-Stamp: s-" + aId +
                    "\r\nContent-Type: text/event-stream\r\nConnection: "
                    "close\r\n\r\n")) {
      return false;
    }
    const int last = std::atoi(aRequest.Get("Last-Event-Id").c_str());
    for (int n = last + 1; n <= kPieces && aConn.Send(Event(id, n)); ++n) {
      SleepMs(kPieceMs);
    }
    return false; // the end of the channel ends the answer
  });
  std::printf("%d\n", server.Port());
  std::fflush(stdout);
  for (;;) {
    SleepMs(1000);
  }
}

struct Worker
{
  std::string mId;
  pid_t mPid = 0;
  uint16_t mPort = 0;
  int64_t mBorn = 0;
};

/// The worker that runs a request, by the request's id.
std::mutex gLock;
std::map<std::string, std::string> gRunsAt;

Worker
StartWorker(const std::string& aId)
{
  int ends[2];
  if (pipe(ends) != 0) {
    std::exit(2);
  }
  Worker worker{ aId, fork(), 0, UnixMillis() };
  if (worker.mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(ends[1], 1);
    ::close(ends[0]);
    ::close(ends[1]);
    execl("/proc/self/exe", "killedworker", "worker", aId.c_str(), nullptr);
    _exit(127);
  }
  ::close(ends[1]);
  FILE* in = fdopen(ends[0], "r");
  int port = 0;
  if (std::fscanf(in, "%d", &port) != 1) {
    std::exit(2);
  }
  std::thread([in, aId] {
    char id[128];
    while (std::fscanf(in, "%127s", id) == 1) {
      const std::lock_guard guard(gLock);
      gRunsAt[id] = aId;
    }
    std::fclose(in);
  }).detach();
  worker.mPort = static_cast<uint16_t>(port);
  return worker;
}

} // namespace

int
main(int aCount, char** aWords)
{
  if (aCount != 3) {
    return 2;
  }
  if (std::string(aWords[1]) == "worker") {
    return RunWorker(aWords[2]);
  }
  Rec().Open(aWords[2]);
  Now();
  const bool trouble = HasTrouble();
  static Store store;
  static std::unique_ptr<Server> port;
  port = std::make_unique<Server>([](Conn& aConn, const Message& aCall) {
    return store.Handle(aConn, aCall, *port);
  });
  store.Put(
    "config",
    "main",
    "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"shop."
    "example\","
    "\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
    "\"slo_ms\":300,\"gap_slo_ms\":300,\"resumable\":true,\"priority\":1,"
    "\"service\":\"app\",\"attempts\":2,"
    "\"public\":true}],\"services\":[{\"name\":\"app\",\"health_path\":"
    "\"/healthz\",\"max_conns\":110}],\"limits\":{\"header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_ms\":15000}"
    "}");
  int started = 0;
  std::vector<Worker> workers;
  const auto start = [&] {
    workers.push_back(StartWorker("i-" + std::to_string(++started)));
    const Worker& it = workers.back();
    store.Put(
      "servers", it.mId, EntryOf("app", it.mPort, "z-a", "ready", 1, it.mBorn));
    Rec().Line("worker %s starts", it.mId.c_str());
  };
  start();
  start();
  Node node("front-a-1", "z-a", port->Address(), aWords[1]);
  if (!node.AwaitReady(20000)) {
    Rec().Line("the node doesn't become ready");
    return 2;
  }
  SleepUntil(std::max<int64_t>(Now() + 1000, 8000));
  int cut = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = "req-" + std::to_string(round);
    Message reply;
    bool answered = false;
    std::thread client([&] {
      answered = Ask(
        node.mCallers, RequestText("POST", "/draft/x", id, 5000), 6000, reply);
    });
    SleepMs(kPieces * kPieceMs / 2);
    std::string killed;
    if (trouble && round % 2 == 0) {
      {
        const std::lock_guard guard(gLock);
        killed = gRunsAt[id];
      }
      for (const Worker& it : workers) {
        if (it.mId == killed) {
          Rec().Line(
            "worker %s, which runs %s, is killed", it.mId.c_str(), id.c_str());
          kill(it.mPid, SIGKILL);
          waitpid(it.mPid, nullptr, 0);
        }
      }
    }
    client.join();
    const bool isSuccess = answered && reply.Status() == 200;
    const bool isWhole = reply.mBody == WholeBody(id);
    const bool looksWhole = isSuccess && reply.mIsWhole;
    Rec().Line(
      "%s: status %d, stamp '%s', Content-Length '%s', %zu of %zu bytes, "
      "the answer %s",
      id.c_str(),
      answered ? reply.Status() : 0,
      reply.Get("Server-Stamp").c_str(),
      reply.Get("Content-Length").c_str(),
      reply.mBody.size(),
      WholeBody(id).size(),
      looksWhole ? "looks complete" : "doesn't look complete");
    if (looksWhole && !isWhole) {
      ++cut;
      Rec().Line("%s: the stream ends as complete before its last piece",
                 id.c_str());
    }
    if (!killed.empty()) {
      std::erase_if(workers,
                    [&](const Worker& it) { return it.mId == killed; });
      start();
      SleepMs(3600); // three intervals of silence
      store.Delete("servers", killed);
      SleepMs(1000);
    }
  }
  for (const Worker& it : workers) {
    kill(it.mPid, SIGKILL);
    waitpid(it.mPid, nullptr, 0);
  }
  node.End(SIGKILL);
  Rec().Line("%d streams ended as complete before their last piece; ORDER %s",
             cut,
             cut > 0 ? "broken" : "held");
  _exit(cut > 0 ? 1 : 0);
}
