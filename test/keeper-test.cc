#include "fakeplatform.h"
#include "groups/groupmanager.h"
#include "manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr milliseconds kTerm{ 60000 };
constexpr milliseconds kMaxProbeAge{ 3000 };
const std::string kKey = std::string(kDomainPrefix) + "rack";

} // namespace

/// A node that manages a domain with one VM, a. It serves a group whose rule no
/// longer exists, so that each plan drains the group.
TEST_GROUP(Keeper)
{
  ManualClock mClock;
  FakePlatform mPlatform;
  Metrics mMetrics;
  HttpClient mClient{ mClock };
  EngineClient mEngines{ mClient };
  ProbeTable mEvidence;
  ViewWatcher mViews{ mPlatform, mClock };
  VmList mVms{ mPlatform };
  ConfigAgent mConfig{ mPlatform };
  GroupManager mKeeper{
    "me",
    { mPlatform, mViews, mVms, mEvidence, mConfig, mEngines, mMetrics, mClock },
    [](const std::string&) { return LeaseRole::Preferred; },
    kTerm,
    kMaxProbeAge
  };

  void setup() override
  {
    Vm vm;
    vm.mId = "a";
    vm.mIncarnation = "a-1";
    vm.mDomain = "rack";
    mPlatform.mVms.push_back(vm);
    Domain domain;
    domain.mName = "rack";
    Group group;
    group.mId = "g";
    group.mRule = "gone";
    group.mPhase = GroupPhase::Serving;
    group.mMembers.push_back({ "a", "a-1", { "127.0.0.1", 1 } });
    domain.mGroups.push_back(group);
    (void)mPlatform.Create(kKey, SerializeDomain(domain), CallPriority::Lease);
    (void)mVms.Poll();
    // The first round acquires the lease and writes the epoch.
    RefreshAndStep();
    mClock.Advance(kMaxProbeAge);
  }

  void RefreshAndStep()
  {
    (void)mViews.Poll();
    StepKeeper();
  }

  /// Performs a round without updating the view.
  void StepKeeper()
  {
    ProbeResult seen;
    seen.mStatus.mIncarnation = "a-1";
    seen.mStatus.mGroup = "g";
    seen.mProbedAt = mClock.Now();
    mEvidence.Record("a", seen);
    mKeeper.Step();
  }

  Domain Stored()
  {
    return ParseDomain(mPlatform.mObjects[kKey].mValue).value();
  }
};

TEST(Keeper, WritesItsEpochBeforeAnythingElse)
{
  CHECK(Stored().mEpoch > 0);
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}

TEST(Keeper, RaisesTheOrderNumberWithEachWrite)
{
  const uint64_t before = Stored().mOrderNumber;
  RefreshAndStep();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
  CHECK(Stored().mOrderNumber > before);
}

TEST(Keeper, ReadsTheObjectAfterALostReplyAndWaitsForTheView)
{
  (void)mViews.Poll();
  mPlatform.mNextWriteFault = StoreFault::ResponseLost;
  StepKeeper();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
  // A write based on the stale view would consume this fault.
  mPlatform.mNextWriteFault = StoreFault::Unavailable;
  StepKeeper();
  StepKeeper();
  CHECK(StoreFault::Unavailable == mPlatform.mNextWriteFault);
}

TEST(Keeper, RetriesAWriteThatWasNotStored)
{
  (void)mViews.Poll();
  mPlatform.mNextWriteFault = StoreFault::Unavailable;
  StepKeeper();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
  StepKeeper();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
}

TEST(Keeper, DoesNothingAfterItsLeaseExpired)
{
  mClock.Advance(kTerm);
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  StepKeeper();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}

TEST(Keeper, WritesNothingWithoutARecentProbe)
{
  mClock.Advance(kMaxProbeAge);
  (void)mViews.Poll();
  mKeeper.Step();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}
