#pragma once

#include <cstdint>

namespace hibiscushold {

/// Not for secrets: the generator is predictable.
/// @return a random number for jitter and load distribution
uint64_t
NextRandom();

/// @return a random number in [0, 1)
double
NextFraction();

} // namespace hibiscushold
