#pragma once

#include "groups/lease.h"
#include "store/platform.h"

#include <string>

namespace hibiscushold {

/// Acquires, renews and reads the leases of fabric domains in the store.
class LeaseClient
{
public:
  LeaseClient(std::string aNodeId,
              Platform& aPlatform,
              const Clock& aClock,
              Duration aTerm);

  /// Makes the store call that is due, if any, and updates aState.
  /// @param aDomainEpoch epoch in the domain object; a new epoch exceeds it
  void Step(const std::string& aDomain,
            LeaseRole aRole,
            uint64_t aDomainEpoch,
            LeaseState& aState);

private:
  void Read(const std::string& aDomain,
            LeaseRole aRole,
            uint64_t aDomainEpoch,
            LeaseState& aState);
  void Acquire(const std::string& aDomain,
               LeaseRole aRole,
               uint64_t aDomainEpoch,
               LeaseState& aState);
  void Write(const std::string& aDomain, uint64_t aEpoch, LeaseState& aState);

  const std::string mNodeId;
  Platform& mPlatform;
  const Clock& mClock;
  const Duration mTerm;
};

} // namespace hibiscushold
