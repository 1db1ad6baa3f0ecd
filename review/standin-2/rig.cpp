#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/reader.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <strings.h>

namespace review {

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    throw std::runtime_error("the record can't be written");
  }
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard guard(mLock);
  std::fprintf(
    mFile, "%6lld %s\n", static_cast<long long>(mTime.Now()), aLine.c_str());
  std::fflush(mFile);
}

std::string
Head::Get(const std::string& aName) const
{
  for (const auto& [name, value] : mFields) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

bool
Head::Has(const std::string& aName) const
{
  return std::any_of(mFields.begin(), mFields.end(), [&](const auto& it) {
    return strcasecmp(it.first.c_str(), aName.c_str()) == 0;
  });
}

Channel::Channel(int aSocket)
  : mSocket(aSocket)
{
  const int on = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Channel::~Channel()
{
  Close();
}

void
Channel::Close()
{
  if (mSocket >= 0) {
    close(mSocket);
    mSocket = -1;
  }
}

void
Channel::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

static sockaddr_in
AddressOf(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

std::unique_ptr<Channel>
Channel::Open(const std::string& aHost, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Channel>(fd);
}

bool
Channel::Send(const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n = send(
      mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool
Channel::Await(int aMillis)
{
  if (!mBuffer.empty()) {
    return true;
  }
  pollfd entry{ mSocket, POLLIN, 0 };
  return poll(&entry, 1, aMillis) > 0;
}

bool
Channel::IsClosed()
{
  char byte = 0;
  const ssize_t n = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool
Channel::Fill(int aMillis)
{
  pollfd entry{ mSocket, POLLIN, 0 };
  if (poll(&entry, 1, aMillis) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t n = recv(mSocket, bytes, sizeof(bytes), 0);
  if (n <= 0) {
    return false;
  }
  mBuffer.append(bytes, static_cast<size_t>(n));
  return true;
}

std::optional<Head>
Channel::ReadHead(int aMillis)
{
  size_t end = 0;
  while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(aMillis)) {
      return std::nullopt;
    }
  }
  std::istringstream lines(mBuffer.substr(0, end));
  mBuffer.erase(0, end + 4);
  Head head;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    if (head.mFirstLine.empty()) {
      head.mFirstLine = line;
      continue;
    }
    const size_t colon = line.find(':');
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    head.mFields.emplace_back(line.substr(0, colon), value);
  }
  return head;
}

std::optional<std::string>
Channel::ReadBody(const Head& aHead, bool aIsAnswer, int aMillis)
{
  std::string body;
  if (strcasecmp(aHead.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aMillis)) {
          return std::nullopt;
        }
      }
      const size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
      while (mBuffer.size() < end + 2 + size + 2) {
        if (!Fill(aMillis)) {
          return std::nullopt;
        }
      }
      body += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return body;
      }
    }
  }
  if (aHead.Has("Content-Length")) {
    const size_t size = std::strtoul(
      aHead.Get("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < size) {
      if (!Fill(aMillis)) {
        return std::nullopt;
      }
    }
    body = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return body;
  }
  if (aIsAnswer) {
    while (Fill(aMillis)) {
    }
    return std::exchange(mBuffer, "");
  }
  return body;
}

std::string
Host()
{
  static const std::string host = hibiscushold::emulator::OwnLoopbackAddress();
  return host;
}

Listener::Listener(const std::string& aHost, Serve aServe, int aPort)
  : mStopping(std::make_shared<std::atomic<bool>>(false))
  , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(aHost, aPort);
  if (bind(mSocket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw std::runtime_error("no port can be bound");
  }
  listen(mSocket, 512);
  socklen_t size = sizeof(address);
  getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mThread = std::thread([stopping = mStopping, fd = mSocket, aServe] {
    while (!*stopping) {
      pollfd entry{ fd, POLLIN, 0 };
      if (poll(&entry, 1, 100) <= 0) {
        continue;
      }
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      std::thread([accepted, aServe] {
        Channel channel(accepted);
        aServe(channel);
      }).detach();
    }
  });
}

Listener::~Listener()
{
  *mStopping = true;
  mThread.join();
  close(mSocket);
}

std::vector<int>
FreePorts(size_t aCount)
{
  std::vector<int> sockets;
  std::vector<int> ports;
  for (size_t n = 0; n < aCount; ++n) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(Host(), 0);
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
    sockets.push_back(fd);
  }
  for (const int it : sockets) {
    close(it);
  }
  return ports;
}

Node::Node(Options aOptions)
  : mOptions(std::move(aOptions))
  , mPorts(FreePorts(3))
{
}

Node::~Node()
{
  Kill();
}

void
Node::Start(bool aIsFirst)
{
  // As platform/gateway.ini, with the bounds of a small deployment.
  std::map<std::string, std::map<std::string, std::string>> settings{
    { "limits",
      { { "key_freshness_ms", "5000" },
        { "grace_s", "8" },
        { "leave_within_ms", "2000" },
        { "repeat_ratio", "0.2" },
        { "repeat_window_s", "10" },
        { "repeat_slack", "130" } } },
    { "groups", { { "stall_ms", "6000" } } },
  };
  for (const auto& [name, value] : mOptions.mBounds) {
    const size_t dot = name.find('.');
    settings[name.substr(0, dot)][name.substr(dot + 1)] = value;
  }
  const std::string path = mOptions.mFolder + "/" + mOptions.mName + ".ini";
  std::ofstream file(path);
  const std::string host = Host() + ":";
  file << "[node]\nid = " << mOptions.mName << "\nzone = " << mOptions.mZone
       << "\ncaller_listen = " << host << mPorts[0]
       << "\nready_listen = " << host << mPorts[1]
       << "\nfirst_start = " << (aIsFirst ? "true" : "false")
       << "\npeer_listen = " << host << mPorts[2]
       << "\ncapacity = 0.25\n[store]\naddress = " << mOptions.mStore << "\n";
  for (const auto& [section, values] : settings) {
    file << "[" << section << "]\n";
    for (const auto& [name, value] : values) {
      file << name << " = " << value << "\n";
    }
  }
  file.close();
  const char* program = std::getenv("PROGRAM");
  const std::string log = mOptions.mFolder + "/" + mOptions.mName + ".log";
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    execl(program, program, "gateway", "--settings", path.c_str(), nullptr);
    _exit(127);
  }
}

void
Node::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

void
Node::Kill()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    kill(mPid, SIGCONT);
    waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

bool
Node::HasEnded()
{
  if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = 0;
    return true;
  }
  return false;
}

bool
Node::IsReady() const
{
  const auto channel = Channel::Open(Host(), mPorts[1]);
  if (channel == nullptr ||
      !channel->Send("GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n")) {
    return false;
  }
  const std::optional<Head> head = channel->ReadHead(1000);
  return head && head->mFirstLine.find(" 200") != std::string::npos;
}

bool
AwaitReady(const std::vector<std::unique_ptr<Node>>& aNodes, int aMillis)
{
  for (int left = aMillis; left > 0; left -= 100) {
    if (std::all_of(aNodes.begin(), aNodes.end(), [](const auto& it) {
          return it->IsReady();
        })) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

void
Sleep(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

Json::Value
ParseJson(const std::string& aText)
{
  Json::Value json;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  std::string faults;
  reader->parse(aText.data(), aText.data() + aText.size(), &json, &faults);
  return json;
}

bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

} // namespace review
