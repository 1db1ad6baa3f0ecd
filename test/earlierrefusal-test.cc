#include "callers.h"

#include <memory>

using namespace hibiscushold;

namespace {

/// A refusal as targets send it, which doesn't name its request.
const std::string kRefusal =
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Longer than a target that has refused a request is avoided.
constexpr auto kAvoidance = milliseconds(300);
/// Longer than a target takes to repeat a response.
constexpr auto kRepeatTime = milliseconds(100);

/// @return the request with another id
std::string
WithId(std::string aRequest, const std::string& aId)
{
  return aRequest.replace(aRequest.find("Id: r1") + 4, 2, aId);
}

} // namespace

TEST_GROUP(EarlierRefusal)
{
  GatewayFixture mGateway;

  /// A target refuses a first request, and sends the refusal once more after it
  /// has begun to run the next request on the same connection.
  /// @param aAnswer of the target to the next request, if it gives one
  static std::unique_ptr<ScriptedServer> MakeRepeater(
    const std::string& aAnswer = "")
  {
    return std::make_unique<ScriptedServer>(
      std::vector<ScriptedServer::Response>{
        { kRefusal }, { kRefusal, false, false, aAnswer, kRepeatTime } });
  }

  /// Has the target refuse a request on a connection that is kept.
  void RefuseOnce()
  {
    const ReceivedResponse got =
      mGateway.Ask(WithId(kLookupRequest, "r0"), "}");
    STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
    // The target gets no requests for a moment.
    std::this_thread::sleep_for(kAvoidance);
  }
};

// Guards against a caller that is told that its request didn't run although a
// target runs it.
TEST(EarlierRefusal, DoesNotRefuseAPlainRequest)
{
  const auto only = MakeRepeater(Reply("late"));
  mGateway.AddTarget(*only);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.Start();
  RefuseOnce();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "}");
  CHECK(got.mBytes.find("HTTP/1.1 503") == std::string::npos);
  CHECK_EQUAL(2U, only->Requests().size());
}

// Guards against the same for a stream.
TEST(EarlierRefusal, DoesNotRefuseAStream)
{
  const auto only = MakeRepeater(StreamHead() + Event(1) + kEnd);
  mGateway.AddTarget(*only);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.mConfig.mRoutes[0].mAttempts = 1;
  mGateway.Start();
  RefuseOnce();
  const ReceivedResponse got = mGateway.Ask(kStreamRequest, "}");
  CHECK(got.mBytes.find("HTTP/1.1 503") == std::string::npos);
  CHECK_EQUAL(2U, only->Requests().size());
}

// Guards against a stream that is cut, or gets other bytes, because the target
// that resumes it repeats an earlier refusal.
TEST(EarlierRefusal, DoesNotEndAResumedStream)
{
  const auto repeater = MakeRepeater();
  mGateway.AddTarget(*repeater);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.mConfig.mRoutes[0].mAttempts = 3;
  mGateway.Start();
  RefuseOnce();
  ScriptedServer first({ { StreamHead() + Event(1), true } });
  ScriptedServer last({ { StreamHead() + Event(2) + kEnd } });
  const TimePoint now = mGateway.mClock.Now();
  {
    const std::lock_guard guard(mGateway.mTargetsLock);
    mGateway.AddTarget(first);
    mGateway.AddTarget(last);
  }
  mGateway.mLoads.AvoidUntil("vm-1", now + milliseconds(100));
  mGateway.mLoads.AvoidUntil("vm-3", now + milliseconds(300));
  CheckEvents(mGateway, 2);
  CHECK_EQUAL(2U, repeater->Requests().size());
}

// Guards against a request that runs at a second target, or that is said not to
// have run, because a copy of an earlier refusal comes instead of its answer.
TEST(EarlierRefusal, DoesNotRepeatAnUnrepeatableRequest)
{
  ScriptedServer only({ { kRefusal }, { Reply("done") } });
  mGateway.AddTarget(only);
  mGateway.mConfig.mRoutes[1].mAttempts = 1;
  mGateway.Start();
  RefuseOnce();
  const ReceivedResponse got = mGateway.Ask(kOrderRequest, "done");
  STRCMP_EQUAL("done", BodyOf(got.mBytes).c_str());
  // No response to an earlier request can come on a new connection.
  CHECK_EQUAL(2U, only.OpenConnections());
}

// Guards against a request that waits until its deadline although its target
// has said, without the id of the request, that another VM has its address.
TEST(EarlierRefusal, MisdirectedRequestIsSentToAnotherTarget)
{
  ScriptedServer first(
    { { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" } });
  ScriptedServer second({ { Reply("done") } });
  mGateway.AddTarget(first);
  mGateway.AddTarget(second);
  mGateway.Start();
  const TimePoint start = mGateway.mClock.Now();
  const ReceivedResponse got = mGateway.Ask(kOrderRequest, "done");
  STRCMP_EQUAL("done", BodyOf(got.mBytes).c_str());
  CHECK(mGateway.mClock.Now() - start < milliseconds(1000));
}
