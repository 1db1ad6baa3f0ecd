#include "callers.h"
#include "fleet/reach.h"
#include "gateway/reachprober.h"

using namespace hibiscushold;

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

TEST_GROUP(Reach)
{
  TargetReach mReach{ kStart };

  void FailTargets(int aCount, TimePoint aNow)
  {
    for (int n = 0; n < aCount; ++n) {
      mReach.RecordConnectFailure("vm-" + std::to_string(n), aNow);
    }
  }

  void CheckReach(Reach aExpected, milliseconds aAt) const
  {
    CHECK(aExpected == mReach.Assess(kStart + aAt));
  }
};

// Guards against a node that is sent new callers although it reaches no target.
TEST(Reach, IsNoneIfNoTargetAcceptsConnectionsOrAnswers)
{
  FailTargets(5, kStart + milliseconds(900));
  CheckReach(Reach::Full, milliseconds(900));
  CheckReach(Reach::None, milliseconds(1100));
  mReach.RecordConnected(kStart + milliseconds(1200));
  CheckReach(Reach::Full, milliseconds(3000));
}

// Guards against requests that are refused although open connections serve
// them.
TEST(Reach, OpenConnectionsMayStillAnswer)
{
  FailTargets(5, kStart + milliseconds(900));
  mReach.RecordAnswer(kStart + milliseconds(1000));
  CheckReach(Reach::OpenConnectionsOnly, milliseconds(1900));
  CheckReach(Reach::None, milliseconds(2100));
}

// Guards against a node that takes dead targets for a cut of its own.
TEST(Reach, IsFullWhileSomeTargetAcceptsConnections)
{
  for (int n = 1; n < 20; ++n) {
    const TimePoint at = kStart + n * milliseconds(300);
    FailTargets(10, at);
    mReach.RecordConnected(at);
    FailTargets(10, at);
    CheckReach(Reach::Full, (n + 1) * milliseconds(300));
  }
}

// Guards against a cut that is seen in a few targets that went one after the
// other.
TEST(Reach, FewOrOldFailuresAreNoCut)
{
  FailTargets(3, kStart + milliseconds(5000));
  CheckReach(Reach::Full, milliseconds(6500));
  mReach.RecordConnectFailure("vm-8", kStart + milliseconds(8500));
  CheckReach(Reach::Full, milliseconds(8600));
}

TEST_GROUP(CutOffNode)
{
  GatewayFixture mGateway;
  ScriptedServer mTarget{ { { Reply("one") }, { Reply("two") } } };

  void Start()
  {
    mGateway.AddTarget(mTarget);
    mGateway.Start();
  }

  void CutOff()
  {
    const TimePoint now = mGateway.mClock.Now();
    const TimePoint before = now - milliseconds(1500);
    mGateway.mReach.RecordConnected(before);
    mGateway.mReach.RecordAnswer(before);
    for (const char* it : { "a", "b", "c", "d" }) {
      mGateway.mReach.RecordConnectFailure(it, now);
    }
  }

  ReachProber MakeProber()
  {
    return { [this] {
              return std::make_shared<const FleetTargets>(mGateway.mTargets);
            },
             { mGateway.mReach,
               mGateway.mSessions,
               mGateway.mMetrics,
               mGateway.mClock } };
  }
};

// Guards against callers that wait for a node which reaches no target, or come
// back to it on the same connection.
TEST(CutOffNode, RefusesAtOnceAndClosesTheConnection)
{
  Start();
  CutOff();
  Poco::Net::StreamSocket caller = mGateway.Connect();
  const TimePoint start = mGateway.mClock.Now();
  Send(caller, kLookupRequest);
  const ReceivedResponse got = ReceiveWhole(caller);
  CHECK(mGateway.mClock.Now() - start < milliseconds(500));
  STRCMP_CONTAINS("HTTP/1.1 503", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
  STRCMP_CONTAINS("Retry-After: 0.020", got.mBytes.c_str());
  CHECK_EQUAL(0U, mTarget.Requests().size());
}

// Guards against a caller that stays at such a node on a kept connection while
// its open connections to targets still answer.
TEST(CutOffNode, ClosesConnectionsAfterAnAnswer)
{
  Start();
  CutOff();
  mGateway.mReach.RecordAnswer(mGateway.mClock.Now());
  for (const char* it : { "e", "f", "g", "h" }) {
    mGateway.mReach.RecordConnectFailure(it, mGateway.mClock.Now());
  }
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, kLookupRequest);
  const ReceivedResponse got = ReceiveWhole(caller);
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
}

// Guards against a node that stays out of use after its cut, as it gets no
// requests that could show the end of it.
TEST(CutOffNode, IsBackOnceATargetAcceptsAConnection)
{
  Start();
  CutOff();
  ReachProber prober = MakeProber();
  prober.ProbeOnce();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a node that is out of use because the service has no targets.
TEST(CutOffNode, IsReadyWithoutTargets)
{
  mGateway.Start();
  CutOff();
  ReachProber prober = MakeProber();
  prober.ProbeOnce();
  CHECK(Reach::Full == mGateway.mReach.Assess(mGateway.mClock.Now()));
}
