#include "groups/lease.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kTerm = seconds(3);
const TimePoint kNow{ std::chrono::hours(1) };

} // namespace

TEST_GROUP(LeaseDecision)
{
  LeaseState mState;
};

TEST(LeaseDecision, AcquiresTheLeaseOnlyAfterAWholeTermWithoutRenewal)
{
  ApplyLeaseRead(mState, 5, { "other", 1, "x" }, "me", kNow, kTerm);
  CHECK(LeaseAction::Read ==
        DecideLease(
          mState, LeaseRole::Preferred, kNow + kTerm - milliseconds(1), kTerm));
  CHECK(LeaseAction::Acquire ==
        DecideLease(mState, LeaseRole::Preferred, kNow + kTerm, kTerm));
  ApplyLeaseRead(
    mState, 6, { "other", 1, "y" }, "me", kNow + seconds(2), kTerm);
  CHECK(LeaseAction::Read ==
        DecideLease(mState, LeaseRole::Preferred, kNow + kTerm, kTerm));
}

TEST(LeaseDecision, CountsTheTermFromWhenTheRenewalWasSent)
{
  ApplyLeaseWrite(mState, 1, { "me", 1, "x" }, kNow, kTerm);
  CHECK(HoldsLease(mState, kNow + kTerm - milliseconds(1)));
  CHECK_FALSE(HoldsLease(mState, kNow + kTerm));
}

TEST(LeaseDecision, LosesTheLeaseWhenAnotherHolderIsRead)
{
  ApplyLeaseWrite(mState, 1, { "me", 1, "x" }, kNow, kTerm);
  ApplyLeaseRead(mState, 2, { "other", 2, "y" }, "me", kNow, kTerm);
  CHECK_FALSE(HoldsLease(mState, kNow));
}

TEST(LeaseDecision, AnIneligibleMemberDoesNotAcquireTheLease)
{
  ApplyLeaseRead(mState, 5, { "other", 1, "x" }, "me", kNow, kTerm);
  CHECK(LeaseAction::None ==
        DecideLease(mState, LeaseRole::Ineligible, kNow + kTerm, kTerm));
}

TEST(LeaseDecision, ADeputyAcquiresTheLeaseOnlyAfterALongerWait)
{
  ApplyLeaseRead(mState, 5, { "other", 1, "x" }, "me", kNow, kTerm);
  const TimePoint due = kNow + kTerm * kDeputyWaitTerms;
  CHECK(LeaseAction::Acquire !=
        DecideLease(mState, LeaseRole::Deputy, due - milliseconds(1), kTerm));
  CHECK(LeaseAction::Acquire ==
        DecideLease(mState, LeaseRole::Deputy, due, kTerm));
}

TEST(LeaseDecision, ResolvesALostReplyByTheNonce)
{
  ApplyLeaseWrite(mState, 1, { "me", 1, "x" }, kNow, kTerm);
  mState.mPendingWrite = LeaseWrite{ "y", kNow + seconds(1) };
  CHECK(LeaseAction::Read ==
        DecideLease(mState, LeaseRole::Preferred, kNow + seconds(2), kTerm));
  ApplyLeaseRead(mState, 2, { "me", 1, "y" }, "me", kNow + seconds(2), kTerm);
  CHECK(HoldsLease(mState, kNow + seconds(4) - milliseconds(1)));
  CHECK_FALSE(HoldsLease(mState, kNow + seconds(4)));
}

TEST(LeaseDecision, RaisesTheEpochEvenIfObjectsWereLost)
{
  CHECK_EQUAL(8u, NextEpoch(7, 3, 0, 0));
  CHECK_EQUAL(10u, NextEpoch(0, 9, 0, 0));
  CHECK_EQUAL(5000u, NextEpoch(0, 0, 5000, 0));
  CHECK(NextEpoch(0, 0, 5000, 2) > NextEpoch(0, 0, 5000 + 59999, 1));
}

TEST(LeaseDecision, ChoosesOnePreferredMemberAndTwoDeputies)
{
  const std::vector<std::string> alive{ "a", "b", "c", "d", "e" };
  std::map<LeaseRole, int> counts;
  for (const std::string& it : alive) {
    ++counts[DecideRole(alive, it, "rack")];
  }
  CHECK_EQUAL(1, counts[LeaseRole::Preferred]);
  CHECK_EQUAL(2, counts[LeaseRole::Deputy]);
  CHECK_EQUAL(2, counts[LeaseRole::Ineligible]);
}
