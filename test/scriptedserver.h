#pragma once

#include "core/settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscushold {

/// A loopback server that answers each request with the next response of a
/// script, byte for byte. Tests use it for responses that an HTTP library
/// wouldn't send. "{attempt}" in a response stands for the X-Attempt-Id of its
/// request.
class ScriptedServer
{
public:
  /// A scripted response.
  struct Response
  {
    std::string mBytes;
    bool mClose = false; ///< closes the connection after all bytes
    bool mReset = false; ///< resets it after all bytes
    std::string mRest{}; ///< sent after mPause
    std::chrono::milliseconds mPause{ 0 };
  };

  explicit ScriptedServer(std::vector<Response> aScript)
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

  /// @return the number of connections that the client has not closed
  size_t OpenConnections() const { return mOpenConnections; }

  /// Waits up to a second for the client to close its connections.
  /// @return the number of those that are still open
  size_t WaitUntilClosed() const
  {
    for (int n = 0; n < 100 && mOpenConnections > 0; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return mOpenConnections;
  }

  /// @return head and body of each request received so far
  std::vector<std::string> Requests() const
  {
    const std::lock_guard guard(mLock);
    return mRequests;
  }

private:
  using SteadyClock = std::chrono::steady_clock;

  struct PendingRest
  {
    Poco::Net::StreamSocket mConnection;
    Response mResponse;
    SteadyClock::time_point mDueAt;
  };

  void Run()
  {
    const Poco::Timespan pollInterval(0, 5000);
    while (!mStopping) {
      if (mSocket.poll(pollInterval, Poco::Net::Socket::SELECT_READ)) {
        mConnections.push_back(mSocket.acceptConnection());
        mOpenConnections = mConnections.size();
      }
      for (size_t n = 0; n < mConnections.size(); ++n) {
        if (mConnections[n].poll(Poco::Timespan(0),
                                 Poco::Net::Socket::SELECT_READ) &&
            !Serve(mConnections[n])) {
          mConnections.erase(mConnections.begin() +
                             static_cast<ptrdiff_t>(n--));
        }
      }
      mOpenConnections = mConnections.size();
      SendDueRests();
    }
  }

  static void FillAttemptId(std::string& aBytes, const std::string& aRequest)
  {
    static const std::string kPlaceholder = "{attempt}";
    static const std::string kField = "X-Attempt-Id: ";
    const size_t to = aBytes.find(kPlaceholder);
    const size_t from = aRequest.find(kField);
    if (to == std::string::npos || from == std::string::npos) {
      return;
    }
    const size_t start = from + kField.size();
    aBytes.replace(
      to,
      kPlaceholder.size(),
      aRequest.substr(start, aRequest.find("\r\n", start) - start));
  }

  void SendDueRests()
  {
    std::erase_if(mPending, [this](PendingRest& aIt) {
      if (SteadyClock::now() < aIt.mDueAt) {
        return false;
      }
      try {
        aIt.mConnection.sendBytes(aIt.mResponse.mRest.data(),
                                  static_cast<int>(aIt.mResponse.mRest.size()));
      } catch (const Poco::Exception&) {
        return true; // the client has closed the connection
      }
      if (Ends(aIt.mResponse)) {
        End(aIt.mConnection, aIt.mResponse);
        std::erase(mConnections, aIt.mConnection);
      }
      return true;
    });
  }

  static bool Ends(const Response& aResponse)
  {
    return aResponse.mClose || aResponse.mReset;
  }

  /// Prepares the connection for being closed once its last copy is gone.
  static void End(Poco::Net::StreamSocket& aConnection,
                  const Response& aResponse)
  {
    if (aResponse.mReset) {
      aConnection.setLinger(true, 0);
    }
  }

  /// @return whether a body of up to a few kilobytes has not arrived whole; it
  ///         is sent after the head
  static bool LacksShortBody(const std::string& aRequest)
  {
    constexpr unsigned long kShortBodyBytes = 4096;
    const std::string field = "Content-Length: ";
    const size_t end = aRequest.find("\r\n\r\n");
    const size_t at = aRequest.find(field);
    if (end == std::string::npos || at > end) {
      return false;
    }
    const unsigned long length = std::stoul(aRequest.substr(at + field.size()));
    return length <= kShortBodyBytes && aRequest.size() - end - 4 < length;
  }

  /// @return whether to keep the connection open
  bool Serve(Poco::Net::StreamSocket& aConnection)
  {
    std::string request;
    try {
      do {
        char buf[65536];
        const int n = aConnection.receiveBytes(buf, sizeof(buf));
        if (n <= 0) {
          return false;
        }
        request.append(buf, static_cast<size_t>(n));
      } while (
        LacksShortBody(request) &&
        aConnection.poll(Poco::Timespan(1, 0), Poco::Net::Socket::SELECT_READ));
    } catch (const Poco::Exception&) {
      return false; // the client has reset the connection
    }
    const std::lock_guard guard(mLock);
    const size_t index = mRequests.size();
    mRequests.push_back(std::move(request));
    if (index >= mScript.size()) {
      return true; // no response after the end of the script
    }
    Response response = mScript[index];
    FillAttemptId(response.mBytes, mRequests.back());
    FillAttemptId(response.mRest, mRequests.back());
    aConnection.sendBytes(response.mBytes.data(),
                          static_cast<int>(response.mBytes.size()));
    if (!response.mRest.empty() || response.mPause.count() > 0) {
      mPending.push_back(
        { aConnection, response, SteadyClock::now() + response.mPause });
      return true;
    }
    End(aConnection, response);
    return !Ends(response);
  }

  const std::vector<Response> mScript;
  Poco::Net::ServerSocket mSocket;
  std::vector<Poco::Net::StreamSocket> mConnections;
  std::vector<PendingRest> mPending;
  std::atomic<size_t> mOpenConnections{ 0 };
  mutable std::mutex mLock;
  std::vector<std::string> mRequests;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace hibiscushold
