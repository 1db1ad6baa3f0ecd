#include "serve/claimstore.h"
#include "serve/claimsweeper.h"

#include "fakeplatform.h"
#include "manualclock.h"

#include <functional>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr auto kTimeout = seconds(10);
/// Longer than the timeout plus the margin after which a claim is overdue.
constexpr auto kOverdue = seconds(16);
constexpr auto kRetention = std::chrono::hours(24);

} // namespace

/// Two nodes share one store. A test stops a node by no longer calling its
/// claim store and its writer, whose queue is then lost.
TEST_GROUP(Claims)
{
  FakePlatform mPlatform;
  ManualClock mClock;
  ClaimWriter mWriter{ mPlatform, mClock };
  ClaimWriter mOtherWriter{ mPlatform, mClock };
  ClaimStore mStore{ "node-1", mPlatform, mWriter, mClock, kRetention };
  ClaimStore mOtherStore{
    "node-2", mPlatform, mOtherWriter, mClock, kRetention
  };
  std::optional<BufferedResponse> mStoredResponse;

  CallerRequest Request(const char* aBody, const char* aKey = "k")
  {
    CallerRequest request;
    request.mAccount = "yard";
    request.mIdempotencyKey = aKey;
    request.mBody = aBody;
    request.mDeadline = mClock.Now() + kTimeout;
    return request;
  }

  ResultOrRefusal<OwnedClaim> Acquire(ClaimStore & aStore,
                                      const char* aBody = "lot")
  {
    mStoredResponse.reset();
    return aStore.Acquire(Request(aBody), mStoredResponse);
  }

  void RunWriters()
  {
    for (int i = 0; i < 10; ++i) {
      mWriter.Step();
      mOtherWriter.Step();
      mClock.Advance(milliseconds(100));
    }
  }

  const char* StoredPhase()
  {
    Result<std::optional<Claim>> claim = mStore.Find("yard", "k");
    return claim.value() ? NameOf(claim.value()->mPhase) : "none";
  }
};

TEST(Claims, OnlyOneOfTwoNodesMaySendARequestWithTheSameKey)
{
  CHECK(Acquire(mStore).has_value());
  ResultOrRefusal<OwnedClaim> second = Acquire(mOtherStore);
  CHECK(RefusalKind::Duplicate == second.error().mKind);
  CHECK(second.error().mRetryAfterMillis > 0);
  CHECK_FALSE(mStoredResponse.has_value());
}

TEST(Claims, ADuplicateGetsTheStoredResponseByteForByte)
{
  const std::string body("\x00\xff\"done\"\n", 9);
  mStore.Finish(Acquire(mStore).value(), { 201, "application/x", body });
  CHECK_FALSE(Acquire(mOtherStore).has_value());
  CHECK_EQUAL(201, mStoredResponse->mStatus);
  STRCMP_EQUAL("application/x", mStoredResponse->mContentType.c_str());
  CHECK(body == mStoredResponse->mBody);
}

TEST(Claims, ADuplicateOfARequestWithALargeResponseIsRefusedAsAlreadyRan)
{
  const std::string large(100001, 'a');
  mStore.Finish(Acquire(mStore).value(), { 200, "text/plain", large });
  ResultOrRefusal<OwnedClaim> second = Acquire(mOtherStore);
  CHECK(RefusalKind::AlreadyRan == second.error().mKind);
  CHECK(Ran::Yes == second.error().mRan);
}

TEST(Claims, ADuplicateOfAStreamedRequestIsRefusedAsAlreadyRan)
{
  mStore.FinishStream(Acquire(mStore).value());
  CHECK(RefusalKind::AlreadyRan == Acquire(mOtherStore).error().mKind);
}

TEST(Claims, AnotherBodyUnderTheSameKeyIsInvalidInEveryPhase)
{
  const OwnedClaim claim = Acquire(mStore).value();
  CHECK(RefusalKind::InvalidRequest == Acquire(mOtherStore, "x").error().mKind);
  mStore.Finish(claim, { 200, "text/plain", "done" });
  CHECK(RefusalKind::InvalidRequest == Acquire(mOtherStore, "x").error().mKind);
  CHECK_FALSE(mStoredResponse.has_value());
}

TEST(Claims, AReleasedClaimMayBeAcquiredAgain)
{
  mStore.Release(Acquire(mStore).value());
  RunWriters();
  CHECK(Acquire(mOtherStore).has_value());
}

TEST(Claims, AnUnknownOutcomeIsNeverSentAgain)
{
  mStore.MarkUnknown(Acquire(mStore).value());
  RunWriters();
  ResultOrRefusal<OwnedClaim> second = Acquire(mOtherStore);
  CHECK(RefusalKind::OutcomeUnknown == second.error().mKind);
  CHECK(Ran::Unknown == second.error().mRan);
}

TEST(Claims, TheClaimOfAStoppedNodeBecomesUnknownOnceOverdue)
{
  CHECK(Acquire(mStore).has_value());
  mClock.Advance(kOverdue);
  CHECK(RefusalKind::OutcomeUnknown == Acquire(mOtherStore).error().mKind);
  mOtherWriter.Step();
  STRCMP_EQUAL("unknown", StoredPhase());
}

TEST(Claims, ANodeThatResumesAfterTheDeadlineDoesNotSend)
{
  const OwnedClaim claim = Acquire(mStore).value();
  CHECK(mStore.MaySend(claim));
  mClock.Advance(kTimeout);
  CHECK_FALSE(mStore.MaySend(claim));
}

TEST(Claims, ALateResponseReplacesUnknownWrittenByAnotherNode)
{
  const OwnedClaim claim = Acquire(mStore).value();
  mClock.Advance(kOverdue);
  CHECK_FALSE(Acquire(mOtherStore).has_value());
  mOtherWriter.Step();
  mStore.Finish(claim, { 200, "text/plain", "done" });
  RunWriters();
  CHECK_FALSE(Acquire(mOtherStore).has_value());
  STRCMP_EQUAL("done", mStoredResponse->mBody.c_str());
}

TEST(Claims, ALateReleaseDoesNotChangeTheNextClaim)
{
  const OwnedClaim claim = Acquire(mStore).value();
  mStore.Release(claim);
  mWriter.Step();
  CHECK(Acquire(mOtherStore).has_value());
  mStore.Release(claim);
  RunWriters();
  STRCMP_EQUAL("running", StoredPhase());
}

TEST(Claims, ACreateWithALostReplyIsRecognizedByItsNonce)
{
  mPlatform.mNextWriteFault = StoreFault::ResponseLost;
  CHECK(Acquire(mStore).has_value());
  CHECK_FALSE(Acquire(mOtherStore).has_value());
}

TEST(Claims, WithoutTheStoreNothingIsSent)
{
  mPlatform.mNextWriteFault = StoreFault::Unavailable;
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  ResultOrRefusal<OwnedClaim> refused = Acquire(mStore);
  CHECK(RefusalKind::StoreUnavailable == refused.error().mKind);
  CHECK(Ran::No == refused.error().mRan);
  CHECK(refused.error().mRetryAfterMillis > 0);
}

TEST(Claims, AClaimThatWasCreatedUnnoticedIsReleased)
{
  mPlatform.mNextWriteFault = StoreFault::ResponseLost;
  mPlatform.mNextReadFault = StoreFault::Unavailable;
  CHECK(RefusalKind::StoreUnavailable == Acquire(mStore).error().mKind);
  STRCMP_EQUAL("running", StoredPhase());
  RunWriters();
  STRCMP_EQUAL("none", StoredPhase());
}

/// Tests each final state of a claim with each fault of its first write.
TEST(Claims, EveryFinalStateIsWrittenDespiteAFault)
{
  struct Row
  {
    std::function<void(ClaimStore&, const OwnedClaim&)> mFinish;
    const char* mPhase;
  };
  const std::vector<Row> rows{
    { [](auto& aStore, auto& aClaim) { aStore.Release(aClaim); }, "none" },
    { [](auto& aStore, auto& aClaim) { aStore.MarkUnknown(aClaim); },
      "unknown" },
    { [](auto& aStore, auto& aClaim) { aStore.FinishStream(aClaim); }, "ran" },
    { [](auto& aStore, auto& aClaim) { aStore.Finish(aClaim, {}); }, "done" },
  };
  for (const Row& row : rows) {
    for (const StoreFault fault :
         { StoreFault::Unavailable, StoreFault::ResponseLost }) {
      mPlatform.mObjects.clear();
      const OwnedClaim claim = Acquire(mStore).value();
      mPlatform.mNextWriteFault = fault;
      row.mFinish(mStore, claim);
      RunWriters();
      STRCMP_EQUAL(row.mPhase, StoredPhase());
      CHECK_EQUAL(0, mWriter.PendingCount());
    }
  }
}

TEST(Claims, AKeyWithATimestampIsRefusedOnceOlderThanTheRetention)
{
  // 0x018bcfe56800 ms is the manual clock's start of 1700000000000.
  const char* key = "018bcfe5-6800-7abc-8def-0123456789ab";
  ResultOrRefusal<OwnedClaim> claim =
    mStore.Acquire(Request("lot", key), mStoredResponse);
  claim.value().mSendDeadline += 2 * kRetention;
  claim.value().mClaim.mDeadlineMillis += 2 * ToMillis(kRetention);
  CHECK(mStore.MaySend(claim.value()));
  mClock.Advance(kRetention);
  CHECK_FALSE(mStore.MaySend(claim.value()));
  ResultOrRefusal<OwnedClaim> late =
    mStore.Acquire(Request("lot", key), mStoredResponse);
  CHECK(RefusalKind::InvalidRequest == late.error().mKind);
  CHECK_FALSE(
    ParseKeyTimeMillis("018bcfe5-6800-4abc-8def-0123456789ab").has_value());
}

TEST(Claims, TheSweeperDeletesExpiredClaims)
{
  ClaimSweeper sweeper(
    mPlatform, mClock, kRetention, [](const std::string&) { return true; });
  CHECK(Acquire(mStore).has_value());
  mClock.Advance(kRetention);
  for (uint32_t i = 0; i < kClaimShards; ++i) {
    CHECK_EQUAL(0, sweeper.Step());
  }
  mClock.Advance(seconds(100));
  size_t deleted = 0;
  for (uint32_t i = 0; i < kClaimShards; ++i) {
    deleted += sweeper.Step();
  }
  CHECK_EQUAL(1, deleted);
  STRCMP_EQUAL("none", StoredPhase());
}
