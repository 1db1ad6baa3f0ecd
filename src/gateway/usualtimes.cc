#include "gateway/usualtimes.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Weight of the newest time in the moving averages.
constexpr double kWeight = 0.05;
/// Times up to this many mean deviations above the average are usual.
constexpr double kUsualDeviations = 4;
constexpr uint32_t kMinCount = 10;
/// Bounds the memory for routes that come and go.
constexpr size_t kMaxRoutes = 4096;

} // namespace

void
UsualTimes::Record(const std::string& aRoute, Duration aTime)
{
  const auto millis = static_cast<double>(ToMillis(aTime));
  const std::lock_guard guard(mLock);
  if (mTimes.size() >= kMaxRoutes && !mTimes.contains(aRoute)) {
    return;
  }
  Times& times = mTimes[aRoute];
  // Until there are enough times for the weight, each counts the same.
  const double weight =
    std::max(kWeight, 1.0 / static_cast<double>(++times.mCount));
  const double difference = millis - times.mMillis;
  times.mMillis += weight * difference;
  times.mDeviationMillis +=
    weight * (std::abs(difference) - times.mDeviationMillis);
}

std::optional<Duration>
UsualTimes::Get(const std::string& aRoute) const
{
  const std::lock_guard guard(mLock);
  const auto it = mTimes.find(aRoute);
  if (it == mTimes.end() || it->second.mCount < kMinCount) {
    return std::nullopt;
  }
  const double usual =
    it->second.mMillis + kUsualDeviations * it->second.mDeviationMillis;
  return milliseconds(static_cast<int64_t>(usual));
}

} // namespace hibiscushold
