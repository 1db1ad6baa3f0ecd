#include "fakeplatform.h"
#include "groups/leaseclient.h"
#include "manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kTerm = milliseconds(3000);

} // namespace

TEST_GROUP(LeaseClient)
{
  ManualClock mClock;
  FakePlatform mPlatform;
  LeaseClient mClient{ "me", mPlatform, mClock, kTerm };
  LeaseClient mOther{ "other", mPlatform, mClock, kTerm };
  LeaseState mState;
  LeaseState mOtherState;

  void Step(LeaseRole aRole = LeaseRole::Preferred, uint64_t aDomainEpoch = 0)
  {
    mClient.Step("rack", aRole, aDomainEpoch, mState);
  }

  bool IsHolder() const
  {
    return HoldsLease(mState, mClock.Now());
  }
};

TEST(LeaseClient, KeepsALeaseWhenRepliesAreLostOrWritesFail)
{
  for (const StoreFault it :
       { StoreFault::ResponseLost, StoreFault::Unavailable }) {
    mPlatform.mNextWriteFault = it;
    Step();
    Step();
    Step();
    CHECK(IsHolder());
    const uint64_t epoch = mState.mLease.mEpoch;
    mClock.Advance(kTerm / 2);
    mPlatform.mNextWriteFault = it;
    Step();
    Step();
    Step();
    mClock.Advance(kTerm * 2 / 3);
    CHECK(IsHolder());
    CHECK_EQUAL(epoch, mState.mLease.mEpoch);
    mPlatform.mObjects.clear();
    mState = LeaseState{};
  }
}

TEST(LeaseClient, ASuspendedHolderMayNotActAfterItsTerm)
{
  Step();
  CHECK(IsHolder());
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  mClock.Advance(kTerm);
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  CHECK(HoldsLease(mOtherState, mClock.Now()));
  CHECK_FALSE(IsHolder());
  CHECK(mOtherState.mLease.mEpoch > mState.mLease.mEpoch);
  Step();
  Step();
  CHECK_FALSE(IsHolder());
}

TEST(LeaseClient, RaisesTheEpochWhenTheLeaseWasLost)
{
  const uint64_t high = static_cast<uint64_t>(mClock.WallMillis()) + 1000;
  Step(LeaseRole::Preferred, high);
  CHECK_EQUAL(high + 1, mState.mLease.mEpoch);
}

TEST(LeaseClient, AnIneligibleMemberDoesNotRenewTheLease)
{
  Step();
  mClock.Advance(kTerm / 2);
  Step(LeaseRole::Ineligible);
  mClock.Advance(kTerm / 2);
  CHECK_FALSE(IsHolder());
}

// Guards against a fault after which no node planned for 28 s: after a write
// conflict each node retried with the version it had last observed.
TEST(LeaseClient, ReadsTheLeaseAfterAWriteConflict)
{
  Step();
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  mClock.Advance(kTerm / 3);
  Step();
  mClock.Advance(kTerm);
  // The other node still uses the version from before the renewal.
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  CHECK(!HoldsLease(mOtherState, mClock.Now()));
  mClock.Advance(kTerm / 10);
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  mClock.Advance(kTerm * 11 / 10);
  mOther.Step("rack", LeaseRole::Preferred, 0, mOtherState);
  CHECK(HoldsLease(mOtherState, mClock.Now()));
}
