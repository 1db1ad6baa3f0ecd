#include "route/demandtable.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Field of a status response that maps an account to a pair of its requests
/// per second and its concurrency.
constexpr const char* kDemandField = "demand";

} // namespace

void
DemandTable::Announce(const DemandMap& aDemand)
{
  DemandMap top = TopDemand(aDemand, kMaxAnnouncedAccounts);
  const std::lock_guard guard(mLock);
  mLocalDemand = std::move(top);
}

void
DemandTable::WriteTo(Json::Value& aStatus) const
{
  const std::lock_guard guard(mLock);
  for (const auto& [account, demand] : mLocalDemand) {
    Json::Value& pair = aStatus[kDemandField][account];
    pair.append(demand.mPerSecond);
    pair.append(demand.mConcurrency);
  }
}

void
DemandTable::Update(const std::string& aMember, const Json::Value& aStatus)
{
  DemandMap demand;
  const Json::Value& accounts = aStatus[kDemandField];
  if (accounts.isObject()) {
    for (const std::string& it : accounts.getMemberNames()) {
      const Json::Value& pair = accounts[it];
      if (pair.isArray() && pair.size() == 2 && pair[0].isNumeric() &&
          pair[1].isNumeric()) {
        demand[it] = { pair[0].asDouble(), pair[1].asDouble() };
      }
    }
  }
  const std::lock_guard guard(mLock);
  mDemandByMember[aMember] = std::move(demand);
}

std::vector<DemandMap>
DemandTable::PruneAndList(const std::vector<std::string>& aAlive)
{
  std::vector<DemandMap> others;
  const std::lock_guard guard(mLock);
  std::erase_if(mDemandByMember, [&](const auto& aMember) {
    return std::find(aAlive.begin(), aAlive.end(), aMember.first) ==
           aAlive.end();
  });
  for (const auto& [member, demand] : mDemandByMember) {
    others.push_back(demand);
  }
  return others;
}

} // namespace hibiscushold
