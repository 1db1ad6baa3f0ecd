#include "serve/claimstore.h"

#include "core/ids.h"

namespace hibiscushold {

namespace {

constexpr size_t kMaxStoredBodyBytes = 100000;
constexpr uint32_t kStoreRetryAfterMillis = 1000;
/// Added to the deadline of a claim to allow for clock differences between
/// nodes and for the time to write the outcome.
constexpr int64_t kDeadlineMarginMillis = 5000;
constexpr int kMaxCreateTries = 2;

Refusal
StoreRefusal(const Failure& aFailure)
{
  return { RefusalKind::StoreUnavailable,
           "the claim could not be stored: " + Describe(aFailure),
           Ran::No,
           kStoreRetryAfterMillis };
}

} // namespace

ClaimStore::ClaimStore(std::string aNodeId,
                       Platform& aPlatform,
                       ClaimWriter& aWriter,
                       const Clock& aClock,
                       milliseconds aRetention)
  : mNodeId(std::move(aNodeId))
  , mPlatform(aPlatform)
  , mWriter(aWriter)
  , mClock(aClock)
  , mRetention(aRetention)
{
}

bool
ClaimStore::IsTooOld(const std::optional<int64_t>& aKeyTimeMillis) const
{
  return aKeyTimeMillis &&
         mClock.WallMillis() - *aKeyTimeMillis > mRetention.count();
}

OwnedClaim
ClaimStore::Prepare(const CallerRequest& aRequest) const
{
  const int64_t wall = mClock.WallMillis();
  const Duration left = TimeLeft(aRequest.mDeadline, mClock.Now());
  OwnedClaim ownClaim;
  ownClaim.mKey = ClaimKey(aRequest.mAccount, aRequest.mIdempotencyKey);
  ownClaim.mSendDeadline = aRequest.mDeadline;
  ownClaim.mKeyTimeMillis = ParseKeyTimeMillis(aRequest.mIdempotencyKey);
  ownClaim.mClaim.mNonce = NewId();
  ownClaim.mClaim.mDigest = ClaimDigest(aRequest);
  ownClaim.mClaim.mNode = mNodeId;
  ownClaim.mClaim.mRequest = aRequest.mId;
  ownClaim.mClaim.mCreatedMillis = wall;
  ownClaim.mClaim.mDeadlineMillis =
    wall + ToMillis(left) + kDeadlineMarginMillis;
  return ownClaim;
}

ResultOrRefusal<OwnedClaim>
ClaimStore::Acquire(const CallerRequest& aRequest,
                    std::optional<BufferedResponse>& aStored)
{
  OwnedClaim ownClaim = Prepare(aRequest);
  if (IsTooOld(ownClaim.mKeyTimeMillis)) {
    return Refusal{ RefusalKind::InvalidRequest,
                    "header Idempotency-Key: the key is older than keys are "
                    "kept; ask the service whether the request ran" };
  }
  for (int i = 0; i < kMaxCreateTries; ++i) {
    BOOST_OUTCOME_TRY(acquired, TryCreate(ownClaim, aStored));
    if (acquired) {
      return std::move(*acquired);
    }
  }
  return StoreRefusal(
    { Error::StoreConflict, "the claim changes quickly", "" });
}

ResultOrRefusal<std::optional<OwnedClaim>>
ClaimStore::TryCreate(OwnedClaim& aOwnClaim,
                      std::optional<BufferedResponse>& aStored)
{
  Result<uint64_t> created = mPlatform.Create(
    aOwnClaim.mKey, SerializeClaim(aOwnClaim.mClaim), CallPriority::Claim);
  if (created) {
    aOwnClaim.mVersion = created.value();
    return std::optional<OwnedClaim>(aOwnClaim);
  }
  const Error error = created.error().mError;
  if (error == Error::StoreThrottled) {
    return StoreRefusal(created.error());
  }
  // The object exists, or the store's reply to the write was lost. Read it.
  Result<Object> object = mPlatform.Get(aOwnClaim.mKey, CallPriority::Claim);
  if (object) {
    return Evaluate(object.value(), aOwnClaim, aStored);
  }
  if (error == Error::StoreConflict &&
      object.error().mError == Error::StoreMissing) {
    return std::optional<OwnedClaim>(); // released since the conflict
  }
  // The write may have taken effect, or may still do so. This request is
  // refused, so its claim must be deleted.
  Release(aOwnClaim);
  return StoreRefusal(object.error());
}

ResultOrRefusal<std::optional<OwnedClaim>>
ClaimStore::Evaluate(const Object& aObject,
                     const OwnedClaim& aOwnClaim,
                     std::optional<BufferedResponse>& aStored)
{
  Result<Claim> found = ParseClaim(aObject.mValue);
  if (!found) {
    return StoreRefusal(found.error());
  }
  OwnedClaim stored{ aObject.mKey, aObject.mVersion, found.value(), {}, {} };
  if (found.value().mNonce == aOwnClaim.mClaim.mNonce) {
    stored.mSendDeadline = aOwnClaim.mSendDeadline;
    stored.mKeyTimeMillis = aOwnClaim.mKeyTimeMillis;
    return std::optional<OwnedClaim>(std::move(stored));
  }
  ClaimDecision decision =
    EvaluateClaim(found.value(), aOwnClaim.mClaim.mDigest, mClock.WallMillis());
  if (decision.mOverdue) {
    MarkUnknown(stored);
  }
  if (decision.mStored) {
    aStored = std::move(decision.mStored);
    return Refusal{ RefusalKind::Duplicate, "the request has run", Ran::Yes };
  }
  return *decision.mRefusal;
}

bool
ClaimStore::MaySend(const OwnedClaim& aClaim) const
{
  return mClock.Now() < aClaim.mSendDeadline &&
         mClock.WallMillis() < aClaim.mClaim.mDeadlineMillis &&
         !IsTooOld(aClaim.mKeyTimeMillis);
}

void
ClaimStore::Release(const OwnedClaim& aClaim)
{
  mWriter.Queue(aClaim, ClaimWriter::Action::Delete, {});
}

void
ClaimStore::Finish(const OwnedClaim& aClaim, const BufferedResponse& aResponse)
{
  Claim next = aClaim.mClaim;
  const bool small = aResponse.mBody.size() <= kMaxStoredBodyBytes;
  next.mPhase = small ? ClaimPhase::Done : ClaimPhase::Ran;
  next.mResponse.mStatus = aResponse.mStatus;
  next.mResponse.mContentType = aResponse.mContentType;
  if (small) {
    next.mResponse.mBody = aResponse.mBody;
  }
  (void)mWriter.Write(aClaim, next);
}

void
ClaimStore::FinishStream(const OwnedClaim& aClaim)
{
  Claim next = aClaim.mClaim;
  next.mPhase = ClaimPhase::Ran;
  next.mResponse.mContentType = "text/event-stream";
  (void)mWriter.Write(aClaim, next);
}

void
ClaimStore::MarkUnknown(const OwnedClaim& aClaim)
{
  Claim next = aClaim.mClaim;
  next.mPhase = ClaimPhase::Unknown;
  mWriter.Queue(aClaim, ClaimWriter::Action::Replace, next);
}

Result<std::optional<Claim>>
ClaimStore::Find(std::string_view aAccount,
                 std::string_view aIdempotencyKey) const
{
  Result<Object> object =
    mPlatform.Get(ClaimKey(aAccount, aIdempotencyKey), CallPriority::Claim);
  if (!object && object.error().mError == Error::StoreMissing) {
    return std::optional<Claim>();
  }
  if (!object) {
    return object.error();
  }
  BOOST_OUTCOME_TRY(claim, ParseClaim(object.value().mValue));
  return std::optional<Claim>(std::move(claim));
}

} // namespace hibiscushold
