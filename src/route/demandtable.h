#pragma once

#include "route/accountlimits.h"

#include <json/value.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold {

/// Stores the account demand that each cluster member announced. Thread-safe.
class DemandTable
{
public:
  /// Sets the demand that this node announces, limited to the accounts with the
  /// highest request rate.
  void Announce(const DemandMap& aDemand);

  /// Adds this node's announcement to a status response.
  void WriteTo(Json::Value& aStatus) const;

  /// Stores the announcement in another member's status response. Malformed
  /// entries are ignored.
  void Update(const std::string& aMember, const Json::Value& aStatus);

  /// Drops the announcements of members that are not in the list.
  /// @param aAlive ids of the live members
  /// @return the remaining announcements of other members
  std::vector<DemandMap> PruneAndList(const std::vector<std::string>& aAlive);

private:
  mutable std::mutex mLock;
  DemandMap mLocalDemand;
  std::map<std::string, DemandMap> mDemandByMember;
};

} // namespace hibiscushold
