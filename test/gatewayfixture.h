#pragma once

#include "fakeplatform.h"
#include "fleet/watcher.h"
#include "gateway/callerconnection.h"
#include "scriptedserver.h"
#include "serve/listen.h"

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <string>
#include <vector>

namespace hibiscushold {

/// What a caller received before its connection ended or fell silent.
struct ReceivedResponse
{
  std::string mBytes;
  bool mReset = false; ///< the connection was reset
  bool mEnded = false; ///< the server closed the connection
};

/// A callers' port on loopback with a fixed configuration. Its targets are
/// scripted servers.
class GatewayFixture
{
public:
  GatewayFixture()
    : mWatcher(
        mPlatform,
        { "vms/",
          "config/",
          "config/main",
          [](const Object&) { return Result<FleetVm>(FleetVm{}); },
          [this](const Object&) { return Result<FleetConfig>(mConfig); } },
        mClock)
    , mThreads(2, PoolCapacity(kThreads))
  {
    FleetRoute stream;
    stream.mName = "stream";
    stream.mHost = "h";
    stream.mPathPrefix = "/stream/";
    stream.mRetryPolicy = RetryPolicy::Stream;
    stream.mResumable = true;
    stream.mTimeout = milliseconds(5000);
    stream.mLatencyTarget = milliseconds(300);
    stream.mAttempts = 2;
    stream.mShares = { { "engines", 1 } };
    FleetRoute lookup = stream;
    lookup.mName = "lookup";
    lookup.mPathPrefix = "/lookup/";
    lookup.mRetryPolicy = RetryPolicy::Idempotent;
    lookup.mResumable = false;
    mConfig.mVersion = 1;
    FleetRoute order = lookup;
    order.mName = "order";
    order.mPathPrefix = "/order/";
    order.mRetryPolicy = RetryPolicy::AtMostOnce;
    mConfig.mRoutes = { stream, lookup, order };
  }

  ~GatewayFixture()
  {
    if (mServer) {
      mServer->stop();
    }
    mThreads.joinAll();
  }

  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  /// Adds a target; the first one is preferred.
  void AddTarget(const ScriptedServer& aServer)
  {
    const size_t n = ++mTargetCount;
    mTargets.mByService["engines"].push_back({ "vm-" + std::to_string(n),
                                               aServer.Address(),
                                               n == 1 ? "a" : "b",
                                               "",
                                               {},
                                               1 });
  }

  /// Sets the start time of a target's VM; aIndex counts from 0.
  void SetTargetStart(size_t aIndex, uint64_t aStartedMillis)
  {
    const std::lock_guard guard(mTargetsLock);
    mTargets.mByService["engines"][aIndex].mStartedMillis = aStartedMillis;
  }

  /// Makes a target cold; aIndex counts from 0.
  void SetTargetCold(size_t aIndex, TimePoint aUntil, double aPerSecond)
  {
    const std::lock_guard guard(mTargetsLock);
    FleetTarget& target = mTargets.mByService["engines"][aIndex];
    target.mColdUntil = aUntil;
    target.mColdPerSecond = aPerSecond;
  }

  /// Makes a target the head of a group; aIndex counts from 0.
  void SetTargetEngine(size_t aIndex,
                       const std::string& aModel,
                       const TargetTimes& aTimes)
  {
    const std::lock_guard guard(mTargetsLock);
    FleetTarget& target = mTargets.mByService["engines"][aIndex];
    target.mModel = aModel;
    target.mTimes = aTimes;
    target.mSlots = 30;
  }

  /// Opens the callers' port; the configuration and targets are fixed then.
  void Start()
  {
    (void)mPlatform.Create("config/main", "{}", CallPriority::Config);
    mWatcher.PollConfig(Duration::zero());
    mRetryBudget.SetNodeCount(1);
    const Poco::Net::ServerSocket socket =
      ListenOn({ "127.0.0.1", 0 }, nullptr).value();
    mAddress = socket.address();
    mServer = std::make_unique<Poco::Net::TCPServer>(
      new CallerConnectionFactory(Dependencies(), kThreads),
      mThreads,
      socket,
      MakeServerParams(kThreads));
    mServer->start();
  }

  /// Begins a planned stop whose grace is over at aServeUntil.
  void Stop(TimePoint aServeUntil)
  {
    mStopWindow.mServeUntil = aServeUntil;
    mStopWindow.mTakeUntil = mClock.Now();
    mStopping = true;
  }

  /// Puts mConfig, with its new version, into force.
  void ChangeConfig()
  {
    ++mConfig.mVersion;
    (void)mPlatform.Update("config/main",
                           "{}",
                           mPlatform.VersionOf("config/main"),
                           CallPriority::Config);
    mWatcher.PollConfig(Duration::zero());
  }

  /// @return a new connection of a caller
  Poco::Net::StreamSocket Connect() const
  {
    Poco::Net::StreamSocket socket(mAddress);
    socket.setReceiveTimeout(Poco::Timespan(6, 0));
    return socket;
  }

  /// Reads until the connection ends, the received bytes end with aEnd, or
  /// nothing arrives for six seconds.
  static ReceivedResponse Receive(Poco::Net::StreamSocket& aSocket,
                                  const std::string& aEnd)
  {
    ReceivedResponse received;
    char buf[4096];
    try {
      while (!received.mBytes.ends_with(aEnd)) {
        const int n = aSocket.receiveBytes(buf, sizeof(buf));
        if (n <= 0) {
          received.mEnded = true;
          break;
        }
        received.mBytes.append(buf, static_cast<size_t>(n));
      }
    } catch (const Poco::TimeoutException&) {
      return received;
    } catch (const Poco::Exception&) {
      received.mReset = true;
    }
    return received;
  }

  /// Sends bytes on a new connection and receives the response.
  ReceivedResponse Ask(const std::string& aBytes, const std::string& aEnd) const
  {
    Poco::Net::StreamSocket socket = Connect();
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    return Receive(socket, aEnd);
  }

  static constexpr int kThreads = 8;
  static constexpr size_t kMaxBodies = 64000000; ///< in bytes

  SystemClock mClock;
  FakePlatform mPlatform;
  FleetConfig mConfig;
  FleetWatcher mWatcher;
  std::mutex mTargetsLock; ///< guards mTargets
  FleetTargets mTargets;
  std::function<void()> mBeforeTargets; ///< called before each look-up
  size_t mTargetCount = 0;
  SessionPool mSessions{ mClock };
  TargetLoads mLoads;
  Quarantine mQuarantine;
  ByteBudget mBuffers{ 64000000 };
  ByteBudget mBodies{ kMaxBodies };
  TargetReach mReach{ mClock.Now() };
  const TokenSet mPeerTokens{ "token-of-this-node" };
  Peers mPeers{ mPeerTokens, 2, mClock.Now() };
  ServiceRetryBudget mRetryBudget{ { 0.2, milliseconds(10000), 100 } };
  const ProtocolNames mProtocol{ "Id",          "Wait", "Last",    "Proof",
                                 "Account",     "Vm",   "Not-Run", "Model",
                                 "Tokens",      "Rank", 421,       "Leaving",
                                 "Retry-After", "Parts" };
  Metrics mMetrics;
  std::atomic<bool> mStopping{ false };
  StopWindow mStopWindow;
  UsualTimes mUsualTimes;
  DemandRecord mDemandRecord;
  std::atomic<bool> mExiting{ false };
  std::atomic<uint32_t> mRunning{ 0 };
  Poco::ThreadPool mThreads;
  Poco::Net::SocketAddress mAddress;
  std::unique_ptr<Poco::Net::TCPServer> mServer;

private:
  GatewayDependencies Dependencies()
  {
    return { mWatcher,
             [this] {
               if (mBeforeTargets) {
                 mBeforeTargets();
               }
               const std::lock_guard guard(mTargetsLock);
               return std::make_shared<const FleetTargets>(mTargets);
             },
             mSessions,
             mLoads,
             mQuarantine,
             mBuffers,
             mBodies,
             mReach,
             mPeers,
             mRetryBudget,
             mProtocol,
             mMetrics,
             mClock,
             "a",
             milliseconds(5000),
             mStopping,
             mStopWindow,
             mUsualTimes,
             mDemandRecord,
             mExiting,
             mRunning };
  }
};

} // namespace hibiscushold
