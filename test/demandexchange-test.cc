#include "fakeplatform.h"
#include "relay/demandexchange.h"

#include <Poco/Net/DatagramSocket.h>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TraitId kBad = 7;

/// @return a free port on loopback
Endpoint
FreeAddress()
{
  const Poco::Net::DatagramSocket socket(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  return { "127.0.0.1", socket.address().port() };
}

/// A node that exchanges reports on loopback.
struct Node
{
  explicit Node(const std::string& aId)
    : mSelf{ aId, "a", FreeAddress(), "token-" + aId, 1 }
    , mTokens(mSelf.mToken)
    , mExchange(mSelf,
                { mTokens, mLoads, mQuarantine, mRelay, mMetrics, mClock })
  {
    CHECK(mExchange.Open().has_value());
  }

  bool IsQuarantined() const
  {
    return mQuarantine.EndOfQuarantine({ 99, { kBad } }).has_value();
  }

  void RecordCrashes(TraitId aFirst, TraitId aLast)
  {
    for (TraitId n = aFirst; n <= aLast; ++n) {
      const TimePoint at = mClock.Now() - seconds(3) + n * milliseconds(200);
      mQuarantine.RecordCrash({ 1000 + n, { kBad } }, n, {}, at);
    }
  }

  SystemClock mClock;
  FakePlatform mStore;
  Metrics mMetrics;
  FeedCache mFeeds{ mClock };
  RelayedPlatform mRelay{ { mStore, mFeeds, nullptr, mMetrics, mClock } };
  const RosterEntry mSelf;
  TokenSet mTokens;
  TargetLoads mLoads;
  Quarantine mQuarantine;
  DemandExchange mExchange;
};

/// Lets the nodes exchange reports until all have quarantined the part, for at
/// most three seconds.
bool
AllFindIt(std::initializer_list<Node*> aNodes)
{
  const auto hasFound = [](const Node* it) { return it->IsQuarantined(); };
  for (int n = 0; n < 60; ++n) {
    for (Node* it : aNodes) {
      it->mExchange.RunOnce();
    }
    if (std::all_of(aNodes.begin(), aNodes.end(), hasFound)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(DemandExchange)
{
  Node mFirst{ "n1" };
  Node mSecond{ "n2" };

  void setup() override
  {
    mSecond.mRelay.SetUpstreams({ { mFirst.mSelf }, {} });
  }
};

// Guards against nodes that each see too few crashes to find their cause.
TEST(DemandExchange, CrashesOfAllNodesCountTogether)
{
  mFirst.RecordCrashes(1, 1);
  mSecond.RecordCrashes(2, 3);
  CHECK(AllFindIt({ &mFirst, &mSecond }));
}

// Guards against nodes that start, or were cut off, after the crashes.
TEST(DemandExchange, NodesLearnOfEarlierCrashes)
{
  mFirst.RecordCrashes(1, 3);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(AllFindIt({ &mFirst, &mSecond }));
  Node third{ "n3" };
  third.mRelay.SetUpstreams({ { mFirst.mSelf }, {} });
  CHECK(AllFindIt({ &mFirst, &third }));
}

// Guards against crashes that anybody on the network can report.
TEST(DemandExchange, CrashesWithAnotherTokenAreRefused)
{
  mSecond.mRelay.SetUpstreams(
    { { { "n1", "a", mFirst.mSelf.mAddress, "wrong", 1 } }, {} });
  mSecond.RecordCrashes(1, 3);
  CHECK(!AllFindIt({ &mFirst, &mSecond }));
  CHECK(!mFirst.IsQuarantined());
}
