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

  void FailTargets(int aCount, milliseconds aAt)
  {
    for (int n = 0; n < aCount; ++n) {
      mReach.RecordConnectFailure("vm-" + std::to_string(n), kStart + aAt);
    }
  }

  /// Records a round while other nodes reach the targets.
  void Probe(const ProbeRound& aRound, milliseconds aAt)
  {
    mReach.RecordProbes(aRound, kStart + aAt);
    mReach.RecordReachOfOthers(kStart + aAt);
  }

  void CheckReach(Reach aExpected, milliseconds aAt) const
  {
    CHECK(aExpected == mReach.Assess(kStart + aAt));
  }
};

// Guards against a node that is sent new callers although it reaches no target.
TEST(Reach, IsNoneIfNoTargetAcceptsConnectionsOrAnswers)
{
  Probe({ 0, 6 }, milliseconds(600));
  CheckReach(Reach::Full, milliseconds(1100));
  Probe({ 0, 6 }, milliseconds(1100));
  CheckReach(Reach::None, milliseconds(1100));
  Probe({ 4, 2 }, milliseconds(1500));
  CheckReach(Reach::Full, milliseconds(1500));
}

// Guards against requests that are refused although open connections serve
// them.
TEST(Reach, OpenConnectionsMayStillAnswer)
{
  mReach.RecordAnswer(kStart + milliseconds(1000));
  Probe({ 0, 6 }, milliseconds(900));
  Probe({ 0, 6 }, milliseconds(1300));
  CheckReach(Reach::Partial, milliseconds(1900));
  CheckReach(Reach::None, milliseconds(2100));
}

// Guards against a node that counts as connected again and again because one
// of many targets accepts connections.
TEST(Reach, StaysCutOffWhileFewTargetsAccept)
{
  Probe({ 0, 6 }, milliseconds(100));
  Probe({ 1, 5 }, milliseconds(500));
  CheckReach(Reach::Partial, milliseconds(500));
  for (int n = 2; n < 20; ++n) {
    Probe({ static_cast<size_t>(n % 3), 4 }, n * milliseconds(400));
    CHECK(Reach::Full != mReach.Assess(kStart + n * milliseconds(400)));
  }
  Probe({ 5, 1 }, milliseconds(9000));
  CheckReach(Reach::Full, milliseconds(9000));
}

// Guards against a node that takes the loss of many targets, such as those of
// a zone, for a cut of its own.
TEST(Reach, IsFullWhileEnoughTargetsAccept)
{
  for (int n = 1; n < 20; ++n) {
    Probe({ 2, 4 }, n * milliseconds(400));
    CheckReach(Reach::Full, n * milliseconds(400));
  }
}

// Guards against all nodes that leave the rotation because the targets of a
// service have gone, which other services and later targets do without.
TEST(Reach, IsFullIfNoNodeReachesTheTargets)
{
  mReach.RecordProbes({ 0, 6 }, kStart + milliseconds(100));
  mReach.RecordProbes({ 0, 6 }, kStart + milliseconds(500));
  CHECK(mReach.FailsProbes());
  CheckReach(Reach::Full, milliseconds(500));
  mReach.RecordReachOfOthers(kStart + milliseconds(500));
  CheckReach(Reach::Partial, milliseconds(500));
  CheckReach(Reach::None, milliseconds(3400));
  CheckReach(Reach::Full, milliseconds(3500));
}

// Guards against a cut that is seen in rounds long apart.
TEST(Reach, OldProbesDontCount)
{
  Probe({ 0, 6 }, milliseconds(100));
  Probe({ 0, 6 }, milliseconds(1500));
  CheckReach(Reach::Full, milliseconds(1500));
}

// Guards against a cut that goes unnoticed, and against a sound node that
// probes targets all the time.
TEST(Reach, IsProbedAfterFailuresAndSilence)
{
  CHECK(!mReach.NeedsProbes(kStart + seconds(9)));
  FailTargets(1, milliseconds(100));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(100)));
  FailTargets(2, milliseconds(200));
  CHECK(mReach.NeedsProbes(kStart + milliseconds(200)));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(3500)));
  FailTargets(2, milliseconds(4000));
  Probe({ 6, 0 }, milliseconds(4000));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(4000)));
  mReach.RecordSent(kStart + milliseconds(5000));
  mReach.RecordSent(kStart + milliseconds(5500));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(5500)));
  CHECK(mReach.NeedsProbes(kStart + milliseconds(5600)));
  mReach.RecordAnswer(kStart + milliseconds(5610));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(9000)));
  // A request whose caller leaves gets no answer.
  mReach.RecordSent(kStart + milliseconds(9000));
  CHECK(mReach.NeedsProbes(kStart + milliseconds(9600)));
  Probe({ 6, 0 }, milliseconds(9600));
  CHECK(!mReach.NeedsProbes(kStart + milliseconds(20000)));
}

TEST_GROUP(CutOffNode)
{
  GatewayFixture mGateway;
  ScriptedServer mTarget{ { { Reply("one") }, { Reply("two") } } };
  bool mDoOthersReach = true;

  void Start()
  {
    mGateway.AddTarget(mTarget);
    mGateway.Start();
  }

  /// Makes the node count as cut off, without an answer for a second.
  void CutOff()
  {
    CutOffFromTargets(mGateway);
  }

  ReachProber MakeProber()
  {
    return { [this] {
              return std::make_shared<const FleetTargets>(mGateway.mTargets);
            },
             { mGateway.mReach,
               mGateway.mPeers,
               [this](const RosterEntry&) { return mDoOthersReach; },
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
  Poco::Net::StreamSocket caller = mGateway.Connect();
  Send(caller, kLookupRequest);
  const ReceivedResponse got = ReceiveWhole(caller);
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
  STRCMP_CONTAINS("Connection: Close", got.mBytes.c_str());
}

// Guards against a node that stays out of use after its cut, as it gets no
// requests that could show the end of it.
TEST(CutOffNode, IsBackOnceTargetsAcceptConnections)
{
  for (int n = 0; n < 4; ++n) {
    mGateway.AddTarget(mTarget);
  }
  mGateway.Start();
  CutOff();
  ReachProber prober = MakeProber();
  prober.ProbeOnce();
  const ReceivedResponse got = mGateway.Ask(kLookupRequest, "one");
  STRCMP_CONTAINS("HTTP/1.1 200", got.mBytes.c_str());
}

// Guards against a cut that a node does not notice, as most of its requests
// use open connections.
TEST(CutOffNode, IsNoticedByProbes)
{
  for (int n = 0; n < 5; ++n) {
    const Poco::Net::ServerSocket closed(
      Poco::Net::SocketAddress("127.0.0.1", 0));
    FleetTarget target;
    target.mVmId = "vm-" + std::to_string(n);
    target.mAddress = { "127.0.0.1", closed.address().port() };
    mGateway.mTargets.mByService["engines"].push_back(target);
  }
  ReachProber prober = MakeProber();
  prober.ProbeOnce();
  CHECK(Reach::Full == mGateway.mReach.Assess(mGateway.mClock.Now()));
  mGateway.mReach.RecordSent(mGateway.mClock.Now() - milliseconds(700));
  mGateway.mPeers.Set({ { "n2", "a", {}, "t", 1, { "127.0.0.1", 9 } } });
  mDoOthersReach = false;
  prober.ProbeOnce();
  prober.ProbeOnce();
  CHECK(Reach::Full == mGateway.mReach.Assess(mGateway.mClock.Now()));
  mDoOthersReach = true;
  prober.ProbeOnce();
  CHECK(Reach::Full != mGateway.mReach.Assess(mGateway.mClock.Now()));
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
