#include "core/random.h"

#include <random>

namespace hibiscushold {

uint64_t
NextRandom()
{
  thread_local std::mt19937_64 generator{ std::random_device()() };
  return generator();
}

double
NextFraction()
{
  constexpr double kTwoPow53 = 9007199254740992.0; // exact in a double
  return static_cast<double>(NextRandom() >> 11U) / kTwoPow53;
}

} // namespace hibiscushold
