#pragma once

#include "core/clock.h"
#include "core/errors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// The stored lease of a domain. Each renewal changes the object's version.
struct Lease
{
  std::string mHolder;
  uint64_t mEpoch = 0; ///< rises by one with each new holder
  std::string mNonce;  ///< of the last write
};

inline constexpr std::string_view kLeasePrefix = "lease/";

std::string
SerializeLease(const Lease& aLease);

/// @return the lease, or ReplyInvalid
Result<Lease>
ParseLease(std::string_view aText);

/// A write of the lease whose answer was lost.
struct LeaseWrite
{
  std::string mNonce;
  TimePoint mSentAt;
};

/// What one node knows of a lease.
struct LeaseState
{
  uint64_t mVersion = 0; ///< version last seen in the store, 0 for none
  Lease mLease;
  TimePoint mSeenSince; ///< when mVersion was first seen
  TimePoint mReadAt;    ///< when the store was last asked
  bool mHeld = false;
  TimePoint mHeldUntil; ///< orders may be given before this
  bool mDeputy = false; ///< took the place of a preferred member
  TimePoint mDeputyUntil;
  std::optional<LeaseWrite> mUnsettled;
  bool mOldReadsDo = false; ///< a reading of the store may be some seconds old
};

/// How a node stands to a domain.
enum class LeaseRole
{
  Preferred, ///< should hold the lease
  Deputy,    ///< takes it when the preferred member leaves it alone
  Bystander, ///< neither takes nor renews it
};

/// Members that may stand in for the preferred one.
inline constexpr size_t kDeputies = 2;

/// @param aAlive members heard of lately
/// @return the role of aSelf for a domain, by rendezvous hashing
LeaseRole
DecideRole(std::vector<std::string> aAlive,
           std::string_view aSelf,
           std::string_view aDomain);

/// How long a deputy waits and serves, in terms of the lease.
inline constexpr int kDeputyWaitTerms = 3;
inline constexpr int kDeputyServeTerms = 10;

enum class LeaseAction
{
  None,
  Renew,   ///< write the next renewal
  Take,    ///< write a new epoch
  Observe, ///< read the object
};

/// @param aRole how this node stands to the domain
/// @param aTerm how long a renewal lasts
LeaseAction
DecideLease(const LeaseState& aState,
            LeaseRole aRole,
            TimePoint aNow,
            Duration aTerm);

/// Chooses the epoch of a new holder. It rises also when the lease, the
/// domain object or both were lost and created anew.
/// @param aWallMillis milliseconds since the Unix epoch
uint64_t
NextEpoch(uint64_t aLeaseEpoch, uint64_t aDomainEpoch, int64_t aWallMillis);

/// Notes what a read found. A write of this node whose answer was lost is
/// settled by its nonce.
void
ObserveLease(LeaseState& aState,
             uint64_t aVersion,
             const Lease& aLease,
             std::string_view aSelf,
             TimePoint aNow,
             Duration aTerm);

/// Notes a write of this node that the store took.
/// @param aSentAt when the write was sent; the term runs from then
void
ConfirmLease(LeaseState& aState,
             uint64_t aVersion,
             const Lease& aLease,
             TimePoint aSentAt,
             Duration aTerm);

/// @return whether the node may act as the holder at aNow
bool
MayAct(const LeaseState& aState, TimePoint aNow);

} // namespace hibiscushold
