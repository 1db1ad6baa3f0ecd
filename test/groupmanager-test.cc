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

/// A node that manages a domain with one VM, a. The VM serves a group whose
/// rule no longer exists, so that each plan drains the group.
TEST_GROUP(GroupManager)
{
  ManualClock mClock;
  FakePlatform mPlatform;
  Metrics mMetrics;
  HttpClient mClient{ mClock };
  EngineClient mEngines{ mClient };
  ProbeTable mProbes;
  ViewWatcher mViews{ mPlatform, mClock };
  VmList mVms{ mPlatform };
  ConfigAgent mConfig{ mPlatform };
  GroupManager mManager{
    "me",
    { mPlatform, mViews, mVms, mProbes, mConfig, mEngines, mMetrics, mClock },
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
    StepManager();
  }

  /// Performs a round without updating the view.
  void StepManager()
  {
    ProbeResult probe;
    probe.mStatus.mIncarnation = "a-1";
    probe.mStatus.mGroup = "g";
    probe.mProbedAt = mClock.Now();
    mProbes.Record("a", probe);
    mManager.Step();
  }

  Domain Stored()
  {
    return ParseDomain(mPlatform.mObjects[kKey].mValue).value();
  }
};

TEST(GroupManager, StoresItsEpochBeforeItChangesGroups)
{
  CHECK(Stored().mEpoch > 0);
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}

TEST(GroupManager, RaisesTheOrderNumberWithEachWrite)
{
  const uint64_t before = Stored().mOrderNumber;
  RefreshAndStep();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
  CHECK(Stored().mOrderNumber > before);
}

TEST(GroupManager, ReadsTheObjectAfterALostReplyAndWaitsForTheView)
{
  (void)mViews.Poll();
  mPlatform.mNextWriteFault = StoreFault::ResponseLost;
  StepManager();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
  // A write based on the stale view would consume this fault.
  mPlatform.mNextWriteFault = StoreFault::Unavailable;
  StepManager();
  StepManager();
  CHECK(StoreFault::Unavailable == mPlatform.mNextWriteFault);
}

TEST(GroupManager, RetriesAWriteThatWasNotStored)
{
  (void)mViews.Poll();
  mPlatform.mNextWriteFault = StoreFault::Unavailable;
  StepManager();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
  StepManager();
  CHECK(GroupPhase::Draining == Stored().mGroups[0].mPhase);
}

TEST(GroupManager, DoesNothingAfterItsLeaseExpired)
{
  mClock.Advance(kTerm);
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  StepManager();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}

TEST(GroupManager, WritesNothingWithoutARecentProbe)
{
  mClock.Advance(kMaxProbeAge);
  (void)mViews.Poll();
  mManager.Step();
  CHECK(GroupPhase::Serving == Stored().mGroups[0].mPhase);
}
