// Small stand-ins for the scripts of this review: HTTP over loopback, the
// platform's store, plain workers and the start of a node's process.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

/// Milliseconds since the start of the script.
inline int64_t
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline int64_t
UnixMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMillis)
{
  if (aMillis > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
  }
}

inline void
SleepUntil(int64_t aTime)
{
  SleepMs(aTime - Now());
}

/// Lines of record.txt, which also go to the standard output.
class Record
{
public:
  void Open(const std::string& aPath) { mFile.open(aPath); }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list args;
    va_start(args, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, args);
    va_end(args);
    const std::lock_guard guard(mLock);
    char line[1100];
    std::snprintf(line,
                  sizeof(line),
                  "%8lld ms  %s\n",
                  static_cast<long long>(Now()),
                  text);
    mFile << line << std::flush;
  }

private:
  std::mutex mLock;
  std::ofstream mFile;
};

inline Record&
Rec()
{
  static Record record;
  return record;
}

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// A message of HTTP/1.1.
struct Message
{
  std::string mFirst;
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;
  bool mIsWhole = false; ///< its body has ended as its head says
  bool mMarksEnd = false;
  std::string Get(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  int Status() const
  {
    return mFirst.size() > 12 ? std::atoi(mFirst.c_str() + 9) : 0;
  }
  std::string Word(int aIndex) const
  {
    std::istringstream in(mFirst);
    std::string word;
    for (int n = 0; n <= aIndex; ++n) {
      in >> word;
    }
    return word;
  }
};

/// A connection with a buffer.
class Conn
{
public:
  explicit Conn(int aFd = -1)
    : mFd(aFd)
  {
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  void Close()
  {
    if (mFd >= 0) {
      ::close(mFd);
      mFd = -1;
    }
  }
  void Reset()
  {
    const linger now{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  bool Connect(uint16_t aPort, int aTimeoutMs)
  {
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    SetTimeout(aTimeoutMs);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aPort);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ::connect(mFd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
  }
  void SetTimeout(int aMillis)
  {
    const timeval time{ aMillis / 1000, (aMillis % 1000) * 1000 };
    setsockopt(mFd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(mFd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    const int one = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  bool Send(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n =
        ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }
  /// @return bytes read; 0 at the end, -1 at an error
  ssize_t Fill()
  {
    char buf[65536];
    const ssize_t n = ::recv(mFd, buf, sizeof(buf), 0);
    if (n > 0) {
      mBuffer.append(buf, static_cast<size_t>(n));
    }
    return n;
  }
  bool Line(std::string& aLine)
  {
    size_t end = 0;
    while ((end = mBuffer.find("\r\n")) == std::string::npos) {
      if (Fill() <= 0) {
        return false;
      }
    }
    aLine = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 2);
    return true;
  }
  bool Bytes(std::string& aInto, size_t aCount)
  {
    while (mBuffer.size() < aCount) {
      if (Fill() <= 0) {
        aInto += std::exchange(mBuffer, {});
        return false;
      }
    }
    aInto += mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return true;
  }
  /// @return whether a message was read up to the end of its head
  bool Head(Message& aInto)
  {
    if (!Line(aInto.mFirst)) {
      return false;
    }
    for (std::string line; Line(line);) {
      if (line.empty()) {
        return true;
      }
      const size_t colon = line.find(':');
      const size_t start = line.find_first_not_of(' ', colon + 1);
      aInto.mFields.emplace_back(
        line.substr(0, colon),
        start == std::string::npos ? "" : line.substr(start));
    }
    return false;
  }
  void Body(Message& aInto, bool aIsResponse)
  {
    if (strcasecmp(aInto.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      aInto.mMarksEnd = true;
      for (std::string line; Line(line);) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          aInto.mIsWhole = Line(line) && line.empty();
          return;
        }
        if (!Bytes(aInto.mBody, size) || !Line(line)) {
          return;
        }
      }
      return;
    }
    if (!aInto.Get("Content-Length").empty()) {
      aInto.mMarksEnd = true;
      aInto.mIsWhole =
        Bytes(aInto.mBody,
              std::strtoul(aInto.Get("Content-Length").c_str(), nullptr, 10));
      return;
    }
    if (!aIsResponse || aInto.Status() == 204 || aInto.Status() == 304) {
      aInto.mIsWhole = true;
      return;
    }
    ssize_t n = 1;
    while (n > 0) {
      n = Fill();
    }
    aInto.mBody += std::exchange(mBuffer, {});
    aInto.mIsWhole = n == 0;
  }
  int Fd() const { return mFd; }

private:
  int mFd;
  std::string mBuffer;
};

/// Serves connections on a port of the loopback address, each in a thread.
class Server
{
public:
  /// @param aHandler returns whether the connection is kept
  using Handler = std::function<bool(Conn&, const Message&)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(mFd, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof(at);
    getsockname(mFd, reinterpret_cast<sockaddr*>(&at), &size);
    mPort = ntohs(at.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  uint16_t Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

  /// While it is cut off, nothing arrives and nothing is answered; connections
  /// that were used meanwhile are reset afterwards.
  void SetCut(bool aIsCut) { mIsCut = aIsCut; }

private:
  void Accept()
  {
    for (;;) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  bool WaitOutCut(Conn& aConn) const
  {
    if (!mIsCut) {
      return false;
    }
    while (mIsCut) {
      SleepMs(5);
    }
    aConn.Reset();
    return true;
  }
  void Serve(int aFd)
  {
    Conn conn(aFd);
    conn.SetTimeout(120000);
    if (WaitOutCut(conn)) {
      return;
    }
    for (;;) {
      Message request;
      if (!conn.Head(request)) {
        return;
      }
      conn.Body(request, false);
      if (!request.mIsWhole || WaitOutCut(conn) || !mHandler(conn, request)) {
        return;
      }
    }
  }

public:
  bool IsCut() const { return mIsCut; }

private:
  const Handler mHandler;
  int mFd = -1;
  uint16_t mPort = 0;
  std::atomic<bool> mIsCut{ false };
};

/// @return the text of a member of a JSON object, spaces and all
inline std::string
MemberOf(const std::string& aJson, const std::string& aName)
{
  size_t depth = 0;
  bool inText = false;
  std::string key;
  size_t start = 0;
  size_t valueAt = std::string::npos;
  for (size_t n = 0; n < aJson.size(); ++n) {
    const char it = aJson[n];
    if (inText) {
      if (it == '\\') {
        ++n;
      } else if (it == '"') {
        inText = false;
        if (depth == 1 && valueAt == std::string::npos) {
          key = aJson.substr(start, n - start);
        }
      }
      continue;
    }
    if (it == '"') {
      inText = true;
      start = n + 1;
    } else if (it == ':' && depth == 1 && valueAt == std::string::npos) {
      valueAt = n + 1;
    } else if (it == '{' || it == '[') {
      ++depth;
    } else if (it == '}' || it == ']' || (it == ',' && depth == 1)) {
      if (depth == 1) {
        if (key == aName && valueAt != std::string::npos) {
          return aJson.substr(valueAt, n - valueAt);
        }
        valueAt = std::string::npos;
      }
      depth -= it == ',' ? 0 : 1;
    }
  }
  return "";
}

inline std::string
Unquoted(std::string aText)
{
  std::erase(aText, '"');
  std::erase(aText, ' ');
  return aText;
}

/// The platform's store, as PROTOCOL.md tells it. It keeps its history for 20
/// s.
class Store
{
public:
  struct Object
  {
    std::string mName;
    uint64_t mRev = 0;
    std::string mSpec;
  };
  struct Event
  {
    std::string mKind;
    Object mObject;
    bool mDeleted = false;
    int64_t mAt = 0;
  };

  /// @return the revision, or 0 if the condition doesn't hold
  uint64_t Put(const std::string& aKind,
               const std::string& aName,
               const std::string& aSpec)
  {
    const std::lock_guard guard(mLock);
    Object& object = mObjects[aKind][aName];
    if (object.mRev != 0 && object.mSpec == aSpec) {
      return object.mRev;
    }
    object = { aName, ++mRev, aSpec };
    Append({ aKind, object, false, Now() });
    return mRev;
  }
  void Delete(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard guard(mLock);
    const auto it = mObjects[aKind].find(aName);
    if (it != mObjects[aKind].end()) {
      Object object = it->second;
      object.mRev = ++mRev;
      mObjects[aKind].erase(it);
      Append({ aKind, object, true, Now() });
    }
  }

  /// @param aPort through which the call came; a watch that waits ends as it is
  ///        cut off
  bool Handle(Conn& aConn, const Message& aCall, const Server& aPort)
  {
    const std::string target = aCall.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::string query =
      path.size() < target.size() ? target.substr(path.size() + 1) : "";
    std::string rest = path.substr(std::min<size_t>(path.size(), 12));
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string method = aCall.Word(0);
    std::unique_lock guard(mLock);
    std::map<std::string, Object>& objects = mObjects[kind];
    if (method == "GET" && !Query(query, "watch").empty()) {
      const uint64_t since = std::stoull(Query(query, "watch"));
      const std::string wait = Query(query, "wait_ms");
      const int64_t until = Now() + (wait.empty() ? 0 : std::stoll(wait));
      for (;;) {
        if (since < mGoneTo) {
          guard.unlock();
          return Reply(aConn, 410, "{}");
        }
        std::string events;
        for (const Event& it : mEvents) {
          if (it.mKind == kind && it.mObject.mRev > since) {
            events += events.empty() ? "" : ",";
            events += std::string("{\"deleted\":") +
                      (it.mDeleted ? "true" : "false") +
                      ",\"object\":" + Text(it.mObject) + "}";
          }
        }
        if (!events.empty() || Now() >= until || aPort.IsCut()) {
          const std::string body = "{\"events\":[" + events +
                                   "],\"as_of\":" + std::to_string(mRev) + "}";
          guard.unlock();
          while (aPort.IsCut()) {
            SleepMs(5);
          }
          return Reply(aConn, 200, body);
        }
        mChanged.wait_for(guard, std::chrono::milliseconds(10));
      }
    }
    if (method == "GET" && name.empty()) {
      std::string items;
      for (const auto& [key, object] : objects) {
        items += (items.empty() ? "" : ",") + Text(object);
      }
      const std::string body =
        "{\"items\":[" + items +
        "],\"has_more\":false,\"as_of\":" + std::to_string(mRev) + "}";
      guard.unlock();
      return Reply(aConn, 200, body);
    }
    if (method == "GET") {
      const auto it = objects.find(name);
      const std::string body = it == objects.end() ? "{}" : Text(it->second);
      const int status = it == objects.end() ? 404 : 200;
      guard.unlock();
      return Reply(aConn, status, body);
    }
    const std::string metadata = MemberOf(aCall.mBody, "metadata");
    const std::string key =
      method == "POST" ? Unquoted(MemberOf(metadata, "name")) : name;
    std::string rev = method == "DELETE" ? Query(query, "rev")
                                         : Unquoted(MemberOf(metadata, "rev"));
    const auto it = objects.find(key);
    if (method == "POST" ? it != objects.end()
                         : it != objects.end() && !rev.empty() &&
                             std::stoull(rev) != it->second.mRev) {
      const std::string body = Text(it->second);
      guard.unlock();
      return Reply(aConn, 409, body);
    }
    if (method != "POST" && it == objects.end()) {
      guard.unlock();
      return Reply(aConn, 404, "{}");
    }
    Object object{ key, ++mRev, MemberOf(aCall.mBody, "spec") };
    if (method == "DELETE") {
      objects.erase(it);
      Append({ kind, object, true, Now() });
    } else {
      objects[key] = object;
      Append({ kind, object, false, Now() });
    }
    guard.unlock();
    return Reply(aConn, 200, Text(object));
  }

private:
  static std::string Query(const std::string& aQuery, const std::string& aName)
  {
    std::istringstream in(aQuery);
    for (std::string part; std::getline(in, part, '&');) {
      if (part.starts_with(aName + "=")) {
        return part.substr(aName.size() + 1);
      }
    }
    return "";
  }
  static std::string Text(const Object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aObject.mName +
           "\",\"rev\":" + std::to_string(aObject.mRev) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           (aObject.mSpec.empty() ? "null" : aObject.mSpec) +
           ",\"status\":null}";
  }
  static bool Reply(Conn& aConn, int aStatus, const std::string& aBody)
  {
    return aConn.Send(
      "HTTP/1.1 " + std::to_string(aStatus) +
      " X\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }
  void Append(Event aEvent)
  {
    mEvents.push_back(std::move(aEvent));
    while (mEvents.front().mAt + 20000 < Now()) {
      mGoneTo = mEvents.front().mObject.mRev;
      mEvents.erase(mEvents.begin());
    }
    mChanged.notify_all();
  }

  std::mutex mLock;
  std::condition_variable mChanged;
  uint64_t mRev = 100;
  uint64_t mGoneTo = 0; ///< events up to this revision are gone
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::vector<Event> mEvents;
};

/// The entry of a plain worker in the store.
inline std::string
EntryOf(const std::string& aService,
        uint16_t aPort,
        const std::string& aZone,
        const std::string& aState,
        uint64_t aSeq,
        int64_t aBorn)
{
  return "{\"service\":\"" + aService +
         "\",\"addr\":\"127.0.0.1:" + std::to_string(aPort) + "\",\"zone\":\"" +
         aZone + "\",\"version\":\"v1\",\"slots\":26,\"state\":\"" + aState +
         "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(aSeq) +
         ",\"born\":" + std::to_string(aBorn) + "}";
}

/// @return a port that was free a moment ago, below those that the system takes
///         for connections, so that none of them takes it before the node does
inline uint16_t
FreePort()
{
  static std::set<uint16_t> given;
  static std::random_device random;
  for (int tries = 0; tries < 1000; ++tries) {
    const auto port = static_cast<uint16_t>(12000 + random() % 20000);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    const bool isFree =
      ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    ::close(fd);
    if (isFree && given.insert(port).second) {
      return port;
    }
  }
  std::exit(2);
}

/// A process of the system, with the command of deploy/system.toml and settings
/// from its template. The working folder is the repository's root.
class Node
{
public:
  Node(std::string aId,
       std::string aZone,
       std::string aStore,
       std::string aFolder,
       bool aIsFirstStart = true)
    : mCallers(FreePort())
    , mReady(FreePort())
    , mPeers(FreePort())
    , mId(std::move(aId))
  {
    std::ifstream in("platform/gateway.ini");
    std::stringstream whole;
    whole << in.rdbuf();
    std::string text = whole.str();
    const std::map<std::string, std::string> values{
      { "node", mId },
      { "zone", aZone },
      { "listen.front", "127.0.0.1:" + std::to_string(mCallers) },
      { "listen.ready", "127.0.0.1:" + std::to_string(mReady) },
      { "bootstrap", aIsFirstStart ? "true" : "false" },
      { "ip", "127.0.0.1" },
      { "port_range.0", std::to_string(mPeers) },
      { "limits.cpu_share", "0.25" },
      { "provider.addr", aStore },
      { "bounds.revoke_ms", "5000" },
      { "bounds.grace_s", "8" },
      { "bounds.drain_ms", "2000" },
      { "bounds.budget_ratio", "0.2" },
      { "bounds.budget_window_s", "10" },
      { "bounds.budget_slack", "134" },
      { "bounds.stall_ms", "6000" },
    };
    for (size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
      const size_t end = text.find("}}", at);
      const auto value = values.find(text.substr(at + 2, end - at - 2));
      text.replace(
        at, end + 2 - at, value == values.end() ? "" : value->second);
    }
    mSettings = aFolder + "/" + mId + ".ini";
    mLog = aFolder + "/" + mId + ".log";
    std::ofstream(mSettings) << text;
    Start();
  }
  ~Node() { End(SIGKILL); }

  void Start()
  {
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script
      const int log = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl("target/hibiscushold",
            "target/hibiscushold",
            "gateway",
            "--settings",
            mSettings.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void End(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
      waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }
  bool IsReady() const
  {
    Conn conn;
    Message reply;
    return conn.Connect(mReady, 500) &&
           conn.Send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: "
                     "close\r\n\r\n") &&
           conn.Head(reply) && reply.Status() == 200;
  }
  bool AwaitReady(int64_t aUntil) const
  {
    while (!IsReady()) {
      if (Now() > aUntil) {
        return false;
      }
      SleepMs(100);
    }
    return true;
  }

  const uint16_t mCallers;
  const uint16_t mReady;
  const uint16_t mPeers;

private:
  const std::string mId;
  std::string mSettings;
  std::string mLog;
  pid_t mPid = 0;
};

/// @param aFields further lines of the head, each with its end
inline std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aFields = "",
            const std::string& aBody = "")
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + aId +
         "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" + aFields +
         (aMethod == "GET"
            ? ""
            : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

/// Sends a request on a new connection and reads its answer.
/// @return whether a head arrived
inline bool
Ask(uint16_t aPort,
    const std::string& aRequest,
    int aTimeoutMs,
    Message& aReply)
{
  Conn conn;
  if (!conn.Connect(aPort, aTimeoutMs) || !conn.Send(aRequest) ||
      !conn.Head(aReply)) {
    return false;
  }
  conn.Body(aReply, true);
  return true;
}

} // namespace kit
