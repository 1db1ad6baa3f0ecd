#include "fleet/config.h"

#include <Poco/String.h>

#include <algorithm>

namespace hibiscushold {

const FleetModel*
EngineSpec::FindModel(std::string_view aName) const
{
  const auto found =
    std::find_if(mModels.begin(), mModels.end(), [&](const FleetModel& it) {
      return it.mName == aName;
    });
  return found == mModels.end() ? nullptr : &*found;
}

TargetTimes
EngineSpec::TimesOf(const FleetModel& aModel) const
{
  const double pass = mTokensPerEvent * aModel.mPace;
  return { mStepMillis * pass,
           mStepMillisPerRequest * pass,
           aModel.mPace / std::max(mPrefillTokensPerMilli, 1.0),
           mPrefillTokensPerPass,
           mUsualAnswerTokens / std::max(mTokensPerEvent, 1U) };
}

const FleetRoute*
FindRoute(const FleetConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath)
{
  const std::string host(aHost.substr(0, aHost.find(':')));
  const FleetRoute* best = nullptr;
  for (const FleetRoute& it : aConfig.mRoutes) {
    if (!aPath.starts_with(it.mPathPrefix) ||
        Poco::icompare(it.mHost, host) != 0) {
      continue;
    }
    if (best == nullptr || it.mPathPrefix.size() > best->mPathPrefix.size()) {
      best = &it;
    }
  }
  return best;
}

const FleetAccount*
FindAccount(const FleetConfig& aConfig, std::string_view aKey)
{
  const auto it = aConfig.mAccountsByKey.find(std::string(aKey));
  return it == aConfig.mAccountsByKey.end() ? nullptr : &it->second;
}

std::string_view
PickService(const FleetRoute& aRoute, double aFraction)
{
  uint64_t total = 0;
  for (const ServiceShare& it : aRoute.mShares) {
    total += it.mWeight;
  }
  double left = aFraction * static_cast<double>(total);
  for (const ServiceShare& it : aRoute.mShares) {
    left -= it.mWeight;
    if (left < 0) {
      return it.mService;
    }
  }
  return aRoute.mShares.empty() ? std::string_view()
                                : aRoute.mShares.back().mService;
}

} // namespace hibiscushold
