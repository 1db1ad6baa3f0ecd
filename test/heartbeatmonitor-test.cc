#include "cluster/heartbeatmonitor.h"

#include "cluster/registration.h"
#include "fakeplatform.h"
#include "standin/server.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr size_t kOthers = 12;

/// Blocks callers until kOthers of them have arrived, for 2 s at most.
class Barrier
{
public:
  void ArriveAndWait()
  {
    std::unique_lock guard(mLock);
    ++mArrived;
    mAllArrived.notify_all();
    mAllArrived.wait_for(
      guard, seconds(2), [this] { return mArrived >= kOthers; });
  }

private:
  std::mutex mLock;
  std::condition_variable mAllArrived;
  size_t mArrived = 0;
};

} // namespace

TEST_GROUP(HeartbeatMonitor)
{
  FakePlatform mPlatform;
  SystemClock mClock;
  HttpClient mHttp{ mClock };
  TokenSet mTokens{ "0123456789abcdef" };
  PeerClient mPeers{ mHttp, mTokens };
  ViewWatcher mViews{ mPlatform, mClock };
  std::atomic<size_t> mAnswers{ 0 };
  HeartbeatMonitor mMonitor{
    "self", mViews, mPeers, mClock, [this](auto&, auto&, auto) { ++mAnswers; }
  };

  void Register(const std::string& aId, const Endpoint& aPeer)
  {
    const Member member{ aId, aId + "-1", "z", aPeer, aPeer };
    CHECK(RegisterMember(mPlatform, member).has_value());
  }
};

TEST(HeartbeatMonitor, SendsHeartbeatsInParallel)
{
  Barrier barrier;
  const standin::Server server(0, [&](auto& aRequest, auto& aResponse) {
    standin::ReadBody(aRequest);
    barrier.ArriveAndWait();
    standin::SendReply(
      aResponse,
      200,
      R"({"jsonrpc":"2.0","id":1,"result":{"incarnation":"m-1"}})");
  });
  for (size_t i = 0; i < kOthers; ++i) {
    Register("m" + std::to_string(i), server.Address());
  }
  Register("self", server.Address());
  CHECK(mViews.Poll().has_value());
  mMonitor.SendHeartbeats();
  CHECK_EQUAL(kOthers, mAnswers.load());
  CHECK_EQUAL(kOthers + 1, mMonitor.Alive().size());
}

TEST(HeartbeatMonitor, AMemberCountsOnlyWithItsRegisteredIncarnation)
{
  const standin::Server server(0, [](auto& aRequest, auto& aResponse) {
    standin::ReadBody(aRequest);
    standin::SendReply(
      aResponse,
      200,
      R"({"jsonrpc":"2.0","id":1,"result":{"incarnation":"m0-1"}})");
  });
  Register("m0", server.Address());
  Register("m1", server.Address());
  Register("self", server.Address());
  CHECK(mViews.Poll().has_value());
  mMonitor.SendHeartbeats();
  CHECK_EQUAL(2u, mMonitor.CountReachable("self-1", seconds(60)));
  CHECK_EQUAL(1u, mMonitor.CountReachable("self-0", seconds(60)));
}
