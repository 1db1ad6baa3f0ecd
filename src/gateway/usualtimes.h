#pragma once

#include "core/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace hibiscushold {

/// Times from the arrival of requests to the end of their responses, by route.
/// Thread-safe.
class UsualTimes
{
public:
  /// Records a request that was answered completely.
  void Record(const std::string& aRoute, Duration aTime);

  /// @return a time that few requests of the route exceed; none if there were
  ///         too few to tell
  std::optional<Duration> Get(const std::string& aRoute) const;

private:
  struct Times
  {
    uint32_t mCount = 0;
    double mMillis = 0;          ///< moving average
    double mDeviationMillis = 0; ///< moving average of deviations from mMillis
  };

  mutable std::mutex mLock;
  std::map<std::string, Times, std::less<>> mTimes;
};

} // namespace hibiscushold
