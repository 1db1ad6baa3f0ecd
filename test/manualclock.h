#pragma once

#include "core/clock.h"

namespace hibiscushold {

/// A clock that only advances by calls of Advance.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return mNow; }
  int64_t WallMillis() const override
  {
    return kWallStartMillis + ToMillis(mNow - TimePoint());
  }

  void Advance(Duration aDuration) { mNow += aDuration; }

private:
  static constexpr int64_t kWallStartMillis = 1700000000000;

  TimePoint mNow{ std::chrono::hours(1) };
};

} // namespace hibiscushold
