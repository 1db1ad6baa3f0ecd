#pragma once

/// Small parts of the stand-ins that the scripts of the review start: an HTTP
/// server and client over plain sockets on loopback, a record, and a process
/// of the system.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

inline int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline int64_t
NowMs()
{
  static const int64_t start = SteadyMs();
  return SteadyMs() - start;
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

inline void
SleepUntil(int64_t aAt)
{
  SleepMs(std::max<int64_t>(0, aAt - NowMs()));
}

/// The record of what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
    if (mFile == nullptr) {
      std::perror(aPath.c_str());
      std::_Exit(2);
    }
  }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[2000];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    const std::lock_guard guard(mLock);
    std::fprintf(
      mFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, text);
    std::fflush(mFile);
  }

private:
  std::mutex mLock;
  std::FILE* mFile;
};

inline std::string
Lower(std::string aText)
{
  for (char& it : aText) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return aText;
}

inline std::string
Trim(const std::string& aText)
{
  const size_t first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

/// A head with its body, of a request or a response.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mFields; ///< names in lower case
  std::string mHead;                          ///< as received
  std::string mBody;

  std::string Get(const std::string& aName, const std::string& aElse = "") const
  {
    const auto it = mFields.find(Lower(aName));
    return it == mFields.end() ? aElse : it->second;
  }
  std::string Word(int aIndex) const
  {
    std::istringstream in(mFirstLine);
    std::string word;
    for (int i = 0; i <= aIndex; ++i) {
      word.clear();
      in >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/// A connection; reads whole messages and sends bytes.
class Connection
{
public:
  explicit Connection(int aFd)
    : mFd(aFd)
  {
    const int one = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close()
  {
    if (mFd >= 0) {
      ::close(mFd);
      mFd = -1;
    }
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

  /// @return whether bytes arrived until aUntil
  bool Fill(int64_t aUntil)
  {
    pollfd entry{ mFd, POLLIN, 0 };
    const int64_t left = std::max<int64_t>(0, aUntil - NowMs());
    if (::poll(&entry, 1, static_cast<int>(left)) <= 0) {
      mTimedOut = true;
      return false;
    }
    char buf[65536];
    const ssize_t n = ::recv(mFd, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(buf, static_cast<size_t>(n));
    return true;
  }

  /// Reads one message with a length, chunks or no body.
  /// @return nothing if the connection ended, or the time was up
  std::optional<Message> Read(int64_t aUntil)
  {
    mTimedOut = false;
    size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    message.mHead = mBuffer.substr(0, end + 4);
    mBuffer.erase(0, end + 4);
    std::istringstream in(message.mHead);
    std::string line;
    std::getline(in, line);
    message.mFirstLine = Trim(line);
    while (std::getline(in, line)) {
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        message.mFields[Lower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
      }
    }
    if (Lower(message.Get("Transfer-Encoding")) == "chunked") {
      return ReadChunks(message, aUntil);
    }
    const size_t length = static_cast<size_t>(
      std::atoll(message.Get("Content-Length", "0").c_str()));
    while (mBuffer.size() < length) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    message.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return message;
  }

  bool TimedOut() const { return mTimedOut; }
  /// @return whether the peer has closed the connection
  bool IsPeerGone() const
  {
    char byte = 0;
    const ssize_t n = ::recv(mFd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  }
  int Fd() const { return mFd; }

private:
  std::optional<Message> ReadChunks(Message aMessage, int64_t aUntil)
  {
    for (;;) {
      size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aUntil)) {
          return std::nullopt;
        }
      }
      const size_t size = std::stoul(mBuffer.substr(0, end), nullptr, 16);
      while (mBuffer.size() < end + 2 + size + 2) {
        if (!Fill(aUntil)) {
          return std::nullopt;
        }
      }
      aMessage.mBody += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return aMessage;
      }
    }
  }

  int mFd;
  std::string mBuffer;
  bool mTimedOut = false;
};

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @return a connection, or null
inline std::unique_ptr<Connection>
ConnectTo(int aPort, int aTimeoutMs = 1000)
{
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(aPort);
  if (::connect(
        fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) < 0 &&
      errno == EINPROGRESS) {
    pollfd entry{ fd, POLLOUT, 0 };
    ::poll(&entry, 1, aTimeoutMs);
  }
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  sockaddr_in peer{};
  socklen_t peerSize = sizeof(peer);
  if (error != 0 ||
      ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peerSize) != 0) {
    ::close(fd);
    return nullptr;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return std::make_unique<Connection>(fd);
}

/// Listens on loopback; a thread for each connection.
class Server
{
public:
  /// @return whether the connection stays open
  using Handler = std::function<bool(Connection&, const Message&)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
    , mFd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int one = 1;
    ::setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
        ::listen(mFd, 512) != 0 ||
        ::getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    mPort = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  void Accept()
  {
    for (;;) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        for (;;) {
          const std::optional<Message> request =
            connection.Read(NowMs() + 600000);
          if (!request || !mHandler(connection, *request)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler mHandler;
  int mFd;
  int mPort = 0;
};

/// A link: passes connections on to a port. While it is cut, it passes nothing
/// on; the connections of that time are reset when the cut ends.
class Link
{
public:
  explicit Link(int aTo)
    : mTo(aTo)
    , mFd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
        ::listen(mFd, 512) != 0 ||
        ::getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    mPort = ntohs(address.sin_port);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([this, fd] { Pass(fd); }).detach();
        }
      }
    }).detach();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }
  void SetCut(bool aIsCut) { mIsCut = aIsCut; }

private:
  void Pass(int aFd)
  {
    Connection from(aFd);
    std::unique_ptr<Connection> to;
    bool wasCut = false;
    for (;;) {
      if (mIsCut) {
        wasCut = true;
        SleepMs(10);
        continue;
      }
      if (wasCut) {
        const linger reset{ 1, 0 };
        ::setsockopt(aFd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        return;
      }
      if (!to && !(to = ConnectTo(mTo))) {
        return;
      }
      pollfd entries[2]{ { aFd, POLLIN, 0 }, { to->Fd(), POLLIN, 0 } };
      if (::poll(entries, 2, 10) <= 0) {
        continue;
      }
      for (int i = 0; i < 2; ++i) {
        char buf[65536];
        if ((entries[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
          const ssize_t n = ::recv(entries[i].fd, buf, sizeof(buf), 0);
          if (n <= 0 || !(i == 0 ? *to : from)
                           .Send(std::string(buf, static_cast<size_t>(n)))) {
            return;
          }
        }
      }
    }
  }

  const int mTo;
  int mFd;
  int mPort = 0;
  std::atomic<bool> mIsCut{ false };
};

inline std::string
Reply(int aStatus, const std::string& aBody, const std::string& aFields = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " x\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aFields + "\r\n" + aBody;
}

inline int
FreePort()
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

/// One machine of the system: `target/hibiscushold gateway`, with the template
/// platform/gateway.ini filled in.
class Node
{
public:
  Node(std::string aId,
       std::string aFolder,
       std::string aStore,
       Record& aRecord)
    : mId(std::move(aId))
    , mFolder(std::move(aFolder))
    , mStore(std::move(aStore))
    , mRecord(aRecord)
    , mCallers(FreePort())
    , mReady(FreePort())
    , mPeers(FreePort())
  {
  }
  ~Node() { End(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// The C library has eight arenas for each core, and the machines of the
  /// pages show one core to a process.
  void SetOneCore() { mIsOneCore = true; }

  void Start(bool aFirst)
  {
    WriteSettings(aFirst);
    const std::string log = mFolder + "/" + mId + ".log";
    const std::string settings = SettingsPath();
    const pid_t parent = ::getpid();
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) {
        ::_exit(2);
      }
      // A machine has 260 MB; the address space is bounded well above that, so
      // that no run takes the memory of the machine that plays it.
      const rlimit space{ 16ULL << 30, 16ULL << 30 };
      ::setrlimit(RLIMIT_AS, &space);
      const rlimit core{ 0, 0 };
      ::setrlimit(RLIMIT_CORE, &core);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      if (mIsOneCore) {
        ::setenv("MALLOC_ARENA_MAX", "8", 1);
      }
      ::execl("target/hibiscushold",
              "target/hibiscushold",
              "gateway",
              "--settings",
              settings.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(2);
    }
    mRecord.Line("node %s started", mId.c_str());
  }

  /// @return the resident memory of the process in MB, 0 if there is none
  int MemoryMb() const
  {
    long pages = 0;
    long resident = 0;
    std::ifstream in("/proc/" + std::to_string(mPid) + "/statm");
    in >> pages >> resident;
    return mPid > 0 ? static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) >> 20)
                    : 0;
  }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }

  /// @return how the process ended since the last call, if it did
  std::optional<std::string> TakeEnd()
  {
    int status = 0;
    if (mPid <= 0 || ::waitpid(mPid, &status, WNOHANG) != mPid) {
      return std::nullopt;
    }
    mPid = 0;
    const std::string how = WIFSIGNALED(status)
                              ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status));
    mRecord.Line("node %s ended by itself: %s", mId.c_str(), how.c_str());
    return how;
  }

  /// Ends the process with SIGKILL.
  void End()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }

  bool IsReady() const
  {
    const auto connection = ConnectTo(mReady, 300);
    if (!connection ||
        !connection->Send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: "
                          "close\r\n\r\n")) {
      return false;
    }
    const auto reply = connection->Read(NowMs() + 500);
    return reply && reply->Status() == 200;
  }

  bool IsRunning() const { return mPid > 0; }
  const std::string& Id() const { return mId; }
  int CallersPort() const { return mCallers; }

private:
  std::string SettingsPath() const { return mFolder + "/" + mId + ".ini"; }

  /// Fills in the template, as the platform does.
  void WriteSettings(bool aFirst) const
  {
    std::ifstream in("platform/gateway.ini");
    std::stringstream text;
    text << in.rdbuf();
    std::string filled = text.str();
    const std::string host = "127.0.0.1:";
    const std::map<std::string, std::string> values{
      { "{{node}}", mId },
      { "{{zone}}", "zone-a" },
      { "{{listen.front}}", host + std::to_string(mCallers) },
      { "{{listen.ready}}", host + std::to_string(mReady) },
      { "{{bootstrap}}", aFirst ? "true" : "false" },
      { "{{ip}}:{{port_range.0}}", host + std::to_string(mPeers) },
      { "{{limits.cpu_share}}", "0.25" },
      { "{{provider.addr}}", mStore },
      { "{{bounds.revoke_ms}}", "5000" },
      { "{{bounds.grace_s}}", "8" },
      { "{{bounds.budget_ratio}}", "0.2" },
      { "{{bounds.budget_window_s}}", "10" },
      { "{{bounds.budget_slack}}", "134" },
      { "{{bounds.stall_ms}}", "6000" },
    };
    for (const auto& [name, value] : values) {
      for (size_t at = filled.find(name); at != std::string::npos;
           at = filled.find(name)) {
        filled.replace(at, name.size(), value);
      }
    }
    if (filled.empty() || filled.find("{{") != std::string::npos) {
      std::fprintf(stderr, "platform/gateway.ini has an unknown placeholder\n");
      std::_Exit(2);
    }
    std::ofstream(SettingsPath()) << filled;
  }

  const std::string mId;
  const std::string mFolder;
  const std::string mStore;
  Record& mRecord;
  const int mCallers;
  const int mReady;
  const int mPeers;
  bool mIsOneCore = false;
  pid_t mPid = 0;
};

/// A folder for the logs and settings of the processes.
inline std::string
MakeFolder()
{
  const char* base = std::getenv("TMPDIR");
  std::string path =
    std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::_Exit(2);
  }
  return path;
}

/// @return whether the run has the disruption
inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

} // namespace kit
