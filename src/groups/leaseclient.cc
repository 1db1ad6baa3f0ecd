#include "groups/leaseclient.h"

#include "core/ids.h"
#include "observe/events.h"

namespace hibiscushold {

namespace {

std::string
LeaseKey(const std::string& aDomain)
{
  return std::string(kLeasePrefix) + aDomain;
}

} // namespace

LeaseClient::LeaseClient(std::string aNodeId,
                         Platform& aPlatform,
                         const Clock& aClock,
                         Duration aTerm)
  : mNodeId(std::move(aNodeId))
  , mPlatform(aPlatform)
  , mClock(aClock)
  , mTerm(aTerm)
{
}

void
LeaseClient::Step(const std::string& aDomain,
                  LeaseRole aRole,
                  uint64_t aDomainEpoch,
                  LeaseState& aState)
{
  if (aState.mHeld && mClock.Now() >= aState.mHeldUntil) {
    aState.mHeld = false;
    LogEvent(EventId::LeaseLost, { { "domain", aDomain } });
  }
  switch (DecideLease(aState, aRole, mClock.Now(), mTerm)) {
    case LeaseAction::None:
      break;
    case LeaseAction::Renew:
      Write(aDomain, aState.mLease.mEpoch, aState);
      break;
    case LeaseAction::Acquire:
      Acquire(aDomain, aRole, aDomainEpoch, aState);
      break;
    case LeaseAction::Read:
      Read(aDomain, aRole, aDomainEpoch, aState);
      break;
  }
}

void
LeaseClient::Read(const std::string& aDomain,
                  LeaseRole aRole,
                  uint64_t aDomainEpoch,
                  LeaseState& aState)
{
  aState.mReadAt = mClock.Now();
  const CallPriority priority =
    aState.mAllowStaleReads ? CallPriority::Status : CallPriority::Lease;
  Result<Object> object = mPlatform.Get(LeaseKey(aDomain), priority);
  if (!object && object.error().mError == Error::StoreMissing) {
    aState.mPendingWrite.reset();
    aState.mHeld = false;
    aState.mVersion = 0;
    if (aRole == LeaseRole::Preferred) {
      Acquire(aDomain, aRole, aDomainEpoch, aState);
    }
    return;
  }
  if (!object) {
    return;
  }
  Result<Lease> lease = ParseLease(object.value().mValue);
  if (lease) {
    ApplyLeaseRead(aState,
                   object.value().mVersion,
                   lease.value(),
                   mNodeId,
                   mClock.Now(),
                   mTerm);
  }
}

void
LeaseClient::Acquire(const std::string& aDomain,
                     LeaseRole aRole,
                     uint64_t aDomainEpoch,
                     LeaseState& aState)
{
  aState.mHeldAsDeputy = aRole == LeaseRole::Deputy;
  aState.mDeputyUntil = mClock.Now() + mTerm * kDeputyHoldTerms;
  const uint64_t era = aState.mEra;
  const auto write = [&] {
    Write(aDomain,
          NextEpoch(
            aState.mMaxEpoch, aDomainEpoch, mClock.WallMillis(), aState.mEra),
          aState);
  };
  write();
  if (aState.mEra != era) {
    // The response to the creation of the lease was the first of its era, so
    // the epoch may be lower than one of an earlier era.
    aState.mHeld = false;
    write();
  }
}

void
LeaseClient::Write(const std::string& aDomain,
                   uint64_t aEpoch,
                   LeaseState& aState)
{
  const Lease lease{ mNodeId, aEpoch, NewId() };
  const TimePoint sentAt = mClock.Now();
  const std::string key = LeaseKey(aDomain);
  const std::string text = SerializeLease(lease);
  Result<uint64_t> written =
    aState.mVersion == 0
      ? mPlatform.Create(key, text, CallPriority::Lease)
      : mPlatform.Update(key, text, aState.mVersion, CallPriority::Lease);
  if (written) {
    if (!aState.mHeld) {
      LogEvent(EventId::LeaseTaken,
               { { "domain", aDomain }, { "epoch", std::to_string(aEpoch) } });
    }
    ApplyLeaseWrite(aState, written.value(), lease, sentAt, mTerm);
    return;
  }
  if (written.error().mError == Error::StoreUnavailable) {
    aState.mPendingWrite = LeaseWrite{ lease.mNonce, sentAt };
  } else if (written.error().mError != Error::StoreThrottled) {
    // Another node has written the lease; the next round reads it again.
    aState.mHeld = false;
    aState.mVersion = 0;
  }
}

} // namespace hibiscushold
