#include "groups/lease.h"

#include "core/ids.h"
#include "core/json.h"

#include <algorithm>

namespace hibiscushold {

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
NextEpoch(uint64_t aLeaseEpoch, uint64_t aDomainEpoch, int64_t aWallMillis)
{
  const uint64_t wall =
    static_cast<uint64_t>(std::max<int64_t>(0, aWallMillis));
  return std::max(std::max(aLeaseEpoch, aDomainEpoch) + 1, wall);
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
  aState.mVersion = aVersion;
  aState.mLease = aLease;
  aState.mVersionSeenAt = aNow;
  if (aLease.mHolder != aSelf) {
    aState.mHeld = false;
  }
}

void
ApplyLeaseWrite(LeaseState& aState,
                uint64_t aVersion,
                const Lease& aLease,
                TimePoint aSentAt,
                Duration aTerm)
{
  aState.mVersion = aVersion;
  aState.mLease = aLease;
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
