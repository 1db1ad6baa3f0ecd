#pragma once
// Stand-ins of the second review: a store (the project's own emulator), nodes
// as processes, workers and clients on raw sockets of loopback.

#include "emulator/nodeprocess.h"
#include "emulator/store.h"
#include "emulator/storeport.h"

#include <json/value.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using hibiscushold::emulator::Store;
using hibiscushold::emulator::StoreAccess;
using hibiscushold::emulator::StorePort;
using hibiscushold::emulator::Timeline;

/// Writes record.txt, one line for each thing that was sent, answered or run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Add(const std::string& aLine);
  const Timeline& Time() const { return mTime; }

private:
  const Timeline mTime;
  std::mutex mLock;
  std::FILE* mFile;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A parsed head of a request or an answer.
struct Head
{
  std::string mFirstLine;
  Fields mFields;
  std::string Get(const std::string& aName) const; ///< "" if there is none
  bool Has(const std::string& aName) const;
};

/// A connected socket with a buffer.
class Channel
{
public:
  explicit Channel(int aSocket);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @return a channel to the address, or null
  static std::unique_ptr<Channel> Open(const std::string& aHost, int aPort);

  bool Send(const std::string& aBytes);
  std::optional<Head> ReadHead(int aMillis);
  /// Reads the body that the head announces (a length, chunks, or the end of
  /// the channel for answers).
  /// @return nothing if it ends early
  std::optional<std::string> ReadBody(const Head& aHead,
                                      bool aIsAnswer,
                                      int aMillis);
  /// Waits for bytes or the end of the channel.
  bool Await(int aMillis);
  /// @return whether the other side has closed
  bool IsClosed();
  void Reset(); ///< closes with a reset
  void Close();
  int Socket() const { return mSocket; }

private:
  bool Fill(int aMillis);

  int mSocket;
  std::string mBuffer;
};

/// Listens on loopback and serves each channel on a thread of its own.
class Listener
{
public:
  using Serve = std::function<void(Channel&)>;
  Listener(const std::string& aHost, Serve aServe, int aPort = 0);
  ~Listener();
  int Port() const { return mPort; }

private:
  std::shared_ptr<std::atomic<bool>> mStopping;
  int mSocket;
  int mPort = 0;
  std::thread mThread;
};

/// @return a free loopback address for this run
std::string
Host();

/// A node process with the settings of platform/gateway.ini.
class Node
{
public:
  struct Options
  {
    std::string mName;
    std::string mZone;
    std::string mFolder;
    std::string mStore; ///< HOST:PORT
    std::map<std::string, std::string> mBounds; ///< "limits.grace_s" ...
  };
  explicit Node(Options aOptions);
  ~Node();

  void Start(bool aIsFirst);
  void Signal(int aSignal) const;
  void Kill(); ///< and waits
  /// @return whether the process has ended by itself
  bool HasEnded();
  int CallerPort() const { return mPorts[0]; }
  int ReadyPort() const { return mPorts[1]; }
  int PeerPort() const { return mPorts[2]; }
  bool IsReady() const;

private:
  const Options mOptions;
  std::vector<int> mPorts;
  int mPid = 0;
};

std::vector<int>
FreePorts(size_t aCount);

bool
AwaitReady(const std::vector<std::unique_ptr<Node>>& aNodes, int aMillis);

void
Sleep(int aMillis);

Json::Value
ParseJson(const std::string& aText);

/// @return whether the disruption is to be left out (TROUBLE=0)
bool
IsCalm();

} // namespace review
