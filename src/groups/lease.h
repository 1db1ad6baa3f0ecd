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
  uint64_t mEpoch = 0; ///< increases with each new holder
  std::string mNonce;  ///< identifies the last write
};

inline constexpr std::string_view kLeasePrefix = "lease/";

std::string
SerializeLease(const Lease& aLease);

/// @return the lease, or ReplyInvalid when the text is malformed
Result<Lease>
ParseLease(std::string_view aText);

/// A write of the lease whose outcome is unknown, as the reply was lost.
struct LeaseWrite
{
  std::string mNonce;
  TimePoint mSentAt;
};

/// The state of a lease as observed by one node.
struct LeaseState
{
  uint64_t mVersion = 0; ///< version last observed in the store, 0 for none
  Lease mLease;
  uint64_t mMaxEpoch = 0; ///< highest epoch observed, also of a lost lease
  uint64_t mEra = 0;      ///< latest era of the store in which it was observed
  TimePoint mVersionSeenAt; ///< when mVersion was first observed
  TimePoint mReadAt;        ///< when the last read was sent
  bool mHeld = false;
  TimePoint mHeldUntil;       ///< end of the term; orders may be sent before it
  bool mHeldAsDeputy = false; ///< acquired in place of the preferred member
  TimePoint mDeputyUntil;     ///< a deputy doesn't renew the lease after this
  std::optional<LeaseWrite> mPendingWrite;
  bool mAllowStaleReads = false; ///< reads may be some seconds stale
};

/// The role of a node in the lease of a domain.
enum class LeaseRole
{
  Preferred,  ///< should hold the lease
  Deputy,     ///< acquires it when the preferred member doesn't renew it
  Ineligible, ///< neither acquires nor renews it
};

/// Number of members that may replace the preferred one.
inline constexpr size_t kMaxDeputies = 2;

/// @param aAlive ids of the live members
/// @return the role of aSelf in a domain's lease, by rendezvous hashing
LeaseRole
DecideRole(std::vector<std::string> aAlive,
           std::string_view aSelf,
           std::string_view aDomain);

/// How long a deputy waits for the preferred member before it acquires the
/// lease, and how long it then holds it, in lease terms.
inline constexpr int kDeputyWaitTerms = 3;
inline constexpr int kDeputyHoldTerms = 10;

enum class LeaseAction
{
  None,
  Renew,   ///< write the lease again with the same epoch
  Acquire, ///< write the lease with a new epoch
  Read,    ///< read the lease object
};

/// Chooses the store call that is due for a lease.
/// @param aRole this node's role in the lease
/// @param aTerm how long a renewal is valid
LeaseAction
DecideLease(const LeaseState& aState,
            LeaseRole aRole,
            TimePoint aNow,
            Duration aTerm);

/// Chooses the epoch of a new holder. It is higher than all previous epochs
/// even when the lease, the domain object or both were lost and created again,
/// and than those of the store's earlier eras unless clocks differ by a minute.
/// @param aWallMillis milliseconds since the Unix epoch; a lower bound of the
///        result
uint64_t
NextEpoch(uint64_t aLeaseEpoch,
          uint64_t aDomainEpoch,
          int64_t aWallMillis,
          uint64_t aEra);

/// Updates the state from a read of the lease. The nonce shows whether a write
/// of this node with an unknown outcome succeeded.
/// @param aNow when the read returned
void
ApplyLeaseRead(LeaseState& aState,
               uint64_t aVersion,
               const Lease& aLease,
               std::string_view aSelf,
               TimePoint aNow,
               Duration aTerm);

/// Updates the state after a successful write of this node.
/// @param aSentAt when the write was sent; the term starts then
void
ApplyLeaseWrite(LeaseState& aState,
                uint64_t aVersion,
                const Lease& aLease,
                TimePoint aSentAt,
                Duration aTerm);

/// @return whether the node holds the lease at aNow and may act as its holder
bool
HoldsLease(const LeaseState& aState, TimePoint aNow);

} // namespace hibiscushold
