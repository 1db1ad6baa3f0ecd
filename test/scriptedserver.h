#pragma once

#include "core/settings.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscushold {

/// Answers each request on loopback with the next text of a script, to the
/// byte, so that tests can send what no library would.
class ScriptedServer
{
public:
  /// What follows a request.
  struct Answer
  {
    std::string mBytes;
    bool mClose = false; ///< closes the connection after them
    bool mReset = false; ///< resets it instead
  };

  explicit ScriptedServer(std::vector<Answer> aScript)
    : mScript(std::move(aScript))
    , mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Run(); })
  {
  }

  ~ScriptedServer()
  {
    mStopping = true;
    mThread.join();
  }

  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint Address() const { return { "127.0.0.1", mSocket.address().port() }; }

  /// @return the requests received so far, each with its head and body
  std::vector<std::string> Requests() const
  {
    const std::lock_guard guard(mLock);
    return mRequests;
  }

private:
  void Run()
  {
    const Poco::Timespan slice(0, 5000);
    while (!mStopping) {
      if (mSocket.poll(slice, Poco::Net::Socket::SELECT_READ)) {
        mOpen.push_back(mSocket.acceptConnection());
      }
      for (size_t n = 0; n < mOpen.size(); ++n) {
        if (mOpen[n].poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
            !Serve(mOpen[n])) {
          mOpen.erase(mOpen.begin() + static_cast<ptrdiff_t>(n--));
        }
      }
    }
  }

  /// @return whether the connection stays
  bool Serve(Poco::Net::StreamSocket& aPeer)
  {
    char buf[65536];
    const int n = aPeer.receiveBytes(buf, sizeof(buf));
    if (n <= 0) {
      return false;
    }
    const std::lock_guard guard(mLock);
    const size_t at = mRequests.size();
    mRequests.emplace_back(buf, static_cast<size_t>(n));
    if (at >= mScript.size()) {
      return true; // silent from here on
    }
    const Answer& answer = mScript[at];
    aPeer.sendBytes(answer.mBytes.data(),
                    static_cast<int>(answer.mBytes.size()));
    if (answer.mReset) {
      aPeer.setLinger(true, 0);
    }
    return !answer.mClose && !answer.mReset;
  }

  const std::vector<Answer> mScript;
  Poco::Net::ServerSocket mSocket;
  std::vector<Poco::Net::StreamSocket> mOpen;
  mutable std::mutex mLock;
  std::vector<std::string> mRequests;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace hibiscushold
