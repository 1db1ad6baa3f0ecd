#include "groups/lease.h"

#include "core/ids.h"
#include "core/json.h"
#include "store/revision.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Epochs start at the wall clock's milliseconds. An era raises them by more
/// than the clocks of two nodes differ.
constexpr uint64_t kEpochsPerEra = 60000;

void
RecordVersion(LeaseState& aState, uint64_t aVersion, const Lease& aLease)
{
  aState.mVersion = aVersion;
  aState.mLease = aLease;
  aState.mMaxEpoch = std::max(aState.mMaxEpoch, aLease.mEpoch);
  aState.mEra = std::max(aState.mEra, EraOf(aVersion));
}

} // namespace

std::string
SerializeLease(const Lease& aLease)
{
  Json::Value json;
  json["holder"] = aLease.mHolder;
  json["epoch"] = Json::UInt64(aLease.mEpoch);
  json["nonce"] = aLease.mNonce;
  return ToJson(json);
}

Result<Lease>
ParseLease(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  return Lease{ TextAt(json, "holder"),
                NumberAt(json, "epoch"),
                TextAt(json, "nonce") };
}

LeaseRole
DecideRole(std::vector<std::string> aAlive,
           std::string_view aSelf,
           std::string_view aDomain)
{
  std::sort(aAlive.begin(), aAlive.end(), [&](auto& aL, auto& aR) {
    return RendezvousScore(aDomain, aL) > RendezvousScore(aDomain, aR);
  });
  const auto it = std::find(aAlive.begin(), aAlive.end(), aSelf);
  const auto rank = it - aAlive.begin();
  if (it == aAlive.end() || rank > static_cast<ptrdiff_t>(kMaxDeputies)) {
    return LeaseRole::Ineligible;
  }
  return rank == 0 ? LeaseRole::Preferred : LeaseRole::Deputy;
}

LeaseAction
DecideLease(const LeaseState& aState,
            LeaseRole aRole,
            TimePoint aNow,
            Duration aTerm)
{
  if (aRole == LeaseRole::Ineligible) {
    return LeaseAction::None;
  }
  if (aState.mPendingWrite) {
    return LeaseAction::Read;
  }
  const bool preferred = aRole == LeaseRole::Preferred;
  if (aState.mHeld) {
    // Renewing after a third of the term leaves time for two retries.
    const TimePoint renewAt = aState.mHeldUntil - aTerm * 2 / 3;
    const bool mayRenew =
      preferred || (aState.mHeldAsDeputy && aNow < aState.mDeputyUntil);
    return mayRenew && aNow >= renewAt ? LeaseAction::Renew : LeaseAction::None;
  }
  const Duration wait = preferred ? aTerm : aTerm * kDeputyWaitTerms;
  const bool expired =
    aState.mVersion != 0 && aNow >= aState.mVersionSeenAt + wait;
  if (expired) {
    return LeaseAction::Acquire;
  }
  const bool readDue = preferred || aNow >= aState.mReadAt + aTerm / 2;
  return readDue ? LeaseAction::Read : LeaseAction::None;
}

uint64_t
NextEpoch(uint64_t aLeaseEpoch,
          uint64_t aDomainEpoch,
          int64_t aWallMillis,
          uint64_t aEra)
{
  const uint64_t wall =
    static_cast<uint64_t>(std::max<int64_t>(0, aWallMillis));
  return std::max(std::max(aLeaseEpoch, aDomainEpoch) + 1,
                  wall + aEra * kEpochsPerEra);
}

void
ApplyLeaseRead(LeaseState& aState,
               uint64_t aVersion,
               const Lease& aLease,
               std::string_view aSelf,
               TimePoint aNow,
               Duration aTerm)
{
  const std::optional<LeaseWrite> pending = std::move(aState.mPendingWrite);
  aState.mPendingWrite.reset();
  if (pending && pending->mNonce == aLease.mNonce) {
    ApplyLeaseWrite(aState, aVersion, aLease, pending->mSentAt, aTerm);
    return;
  }
  if (aVersion == aState.mVersion) {
    return;
  }
  // A restored store may have an earlier lease of this node.
  if (aLease.mHolder != aSelf || aLease.mEpoch != aState.mLease.mEpoch) {
    aState.mHeld = false;
  }
  RecordVersion(aState, aVersion, aLease);
  aState.mVersionSeenAt = aNow;
}

void
ApplyLeaseWrite(LeaseState& aState,
                uint64_t aVersion,
                const Lease& aLease,
                TimePoint aSentAt,
                Duration aTerm)
{
  RecordVersion(aState, aVersion, aLease);
  aState.mVersionSeenAt = aSentAt;
  aState.mHeld = true;
  aState.mHeldUntil = aSentAt + aTerm;
  aState.mPendingWrite.reset();
}

bool
HoldsLease(const LeaseState& aState, TimePoint aNow)
{
  return aState.mHeld && aNow < aState.mHeldUntil;
}

} // namespace hibiscushold
