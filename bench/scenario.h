#pragma once

#include "bench/output.h"
#include "core/errors.h"

#include <cstdint>

namespace hibiscushold::bench {

/// Command-line options of a scenario.
struct ScenarioOptions
{
  uint64_t mSeed = 1;
  double mRate = 0;          ///< calls per second; 0 for the default
  uint32_t mStepSeconds = 0; ///< length of a step; 0 for the default
};

/// Sends the same calls directly to a stand-in engine and through a node.
/// @return whether the added latency is within its limits
Result<bool>
RunAdded(const ScenarioOptions& aOptions, Output& aOutput);

/// Offers load of 0.5, 1, 2 and 4 times the capacity in two priority classes.
/// @return whether goodput at four times is at least nine tenths of the peak
Result<bool>
RunLoad(const ScenarioOptions& aOptions, Output& aOutput);

/// Sends all kinds of requests while faults are injected at random times.
/// @return whether no at-most-once request ran twice, and no answer was that of
///         another request, truncated or falsely reported as not run
Result<bool>
RunMixed(const ScenarioOptions& aOptions, Output& aOutput);

} // namespace hibiscushold::bench
