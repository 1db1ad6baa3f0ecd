#include "admission/demandrecord.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

constexpr auto kRecent = milliseconds(1500);
constexpr auto kUsual = milliseconds(15000);
/// A class of requests that was not seen for this time leaves no room free.
constexpr auto kClassLifetime = milliseconds(4000);
/// An account is above its share from this multiple of it on.
constexpr double kMuch = 2;
/// Requests, in tokens of a usual prompt, that a share is measured from.
constexpr double kMinRecentTokens = 8000;
constexpr double kMinTokens = 100; ///< of any request
constexpr double kLeastWeight = 0.05;
constexpr double kMaxLeastMillis = 400;
/// Bound on what a node keeps of models and accounts that come and go.
constexpr size_t kMaxEntries = 1000;

template<typename T>
typename T::mapped_type&
EntryOf(T& aMap, std::string_view aKey)
{
  const auto it = aMap.find(aKey);
  if (it != aMap.end()) {
    return it->second;
  }
  if (aMap.size() >= kMaxEntries) {
    aMap.erase(aMap.begin());
  }
  return aMap[std::string(aKey)];
}

} // namespace

double
ValueOf(const FadingSum& aSum, TimePoint aNow, Duration aHalved)
{
  const double age = std::chrono::duration<double>(aNow - aSum.mUpdatedAt) /
                     std::chrono::duration<double>(aHalved);
  return aSum.mValue * std::exp2(-std::max(0.0, age));
}

void
AddTo(FadingSum& aSum, double aAmount, TimePoint aNow, Duration aHalved)
{
  aSum.mValue = ValueOf(aSum, aNow, aHalved) + aAmount;
  aSum.mUpdatedAt = std::max(aSum.mUpdatedAt, aNow);
}

void
DemandRecord::Add(std::string_view aModel,
                  std::string_view aAccount,
                  const Urgency& aUrgency,
                  milliseconds aLatencyTarget,
                  uint32_t aTokens,
                  TimePoint aNow)
{
  const double work = std::max<double>(aTokens, kMinTokens);
  const std::lock_guard guard(mLock);
  Model& model = EntryOf(mModels, aModel);
  Class& seen = model.mClasses[aUrgency];
  const bool isCurrent = aNow - seen.mSeenAt < kClassLifetime;
  seen.mLatencyTarget =
    isCurrent ? std::min(seen.mLatencyTarget, aLatencyTarget) : aLatencyTarget;
  seen.mSeenAt = aNow;
  for (Work* it : { &EntryOf(model.mAccounts, aAccount), &model.mAll }) {
    AddTo(it->mRecent, work, aNow, kRecent);
    AddTo(it->mUsual, work, aNow, kUsual);
  }
}

std::optional<milliseconds>
DemandRecord::ShortestTargetAbove(std::string_view aModel,
                                  const Urgency& aUrgency,
                                  TimePoint aNow) const
{
  const std::lock_guard guard(mLock);
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return std::nullopt;
  }
  std::optional<milliseconds> shortest;
  for (const auto& [urgency, it] : model->second.mClasses) {
    if (urgency < aUrgency && aNow - it.mSeenAt < kClassLifetime) {
      shortest =
        std::min(shortest.value_or(it.mLatencyTarget), it.mLatencyTarget);
    }
  }
  return shortest;
}

bool
DemandRecord::IsAboveShare(std::string_view aModel,
                           std::string_view aAccount,
                           TimePoint aNow) const
{
  const std::lock_guard guard(mLock);
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return false;
  }
  const auto account = model->second.mAccounts.find(aAccount);
  const Work& all = model->second.mAll;
  const double allRecent = ValueOf(all.mRecent, aNow, kRecent);
  if (account == model->second.mAccounts.end() ||
      allRecent < kMinRecentTokens) {
    return false;
  }
  const Work& own = account->second;
  const double ownRecent = ValueOf(own.mRecent, aNow, kRecent);
  // A surge must not count as usual itself.
  const double ownBefore = ValueOf(own.mUsual, aNow, kUsual) - ownRecent;
  const double allBefore = ValueOf(all.mUsual, aNow, kUsual) - allRecent;
  const double usual = allBefore > 0 ? std::max(0.0, ownBefore) / allBefore : 1;
  const double recent = ownRecent / allRecent;
  const double equal =
    1.0 / static_cast<double>(model->second.mAccounts.size());
  return recent > kMuch * std::max(usual, equal);
}

void
DemandRecord::RecordFirstEvent(std::string_view aModel,
                               double aMillis,
                               double aForecastMillis)
{
  const std::lock_guard guard(mLock);
  Model& model = EntryOf(mModels, aModel);
  // A longer forecast explains the wait by the load.
  const bool isUnexplained =
    model.mFirstEvents == 0 || aForecastMillis < model.mLeastMillis;
  if (!isUnexplained) {
    return;
  }
  const double sample = std::clamp(aMillis, 0.0, kMaxLeastMillis);
  const double weight =
    std::max(kLeastWeight, 1.0 / static_cast<double>(model.mFirstEvents + 1));
  ++model.mFirstEvents;
  model.mLeastMillis += weight * (sample - model.mLeastMillis);
}

double
DemandRecord::LeastFirstEvent(std::string_view aModel) const
{
  const std::lock_guard guard(mLock);
  const auto model = mModels.find(aModel);
  return model == mModels.end() ? 0 : model->second.mLeastMillis;
}

} // namespace hibiscushold
