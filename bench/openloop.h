#pragma once

#include "core/clock.h"

#include <functional>
#include <random>
#include <vector>

namespace hibiscushold::bench {

/// @param aPerSecond mean rate of calls
/// @return start times of aCount calls, with exponentially distributed gaps
std::vector<Duration>
MakeSchedule(std::mt19937_64& aRandom, size_t aCount, double aPerSecond);

/// Makes one call of the schedule.
/// @param aIntended scheduled start; latencies are measured from there, so that
///        they include the wait for a free thread
using OpenLoopCall = std::function<void(size_t aIndex, TimePoint aIntended)>;

/// Makes the calls at their scheduled times, up to aThreads at once.
void
RunOpenLoop(const std::vector<Duration>& aSchedule,
            size_t aThreads,
            const OpenLoopCall& aCall);

} // namespace hibiscushold::bench
