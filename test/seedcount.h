#pragma once

#include "core/number.h"

#include <cstdint>
#include <cstdlib>

namespace hibiscushold {

/// @return the number of seeds of a test; more than in CI if SOAK_SEEDS says so
inline uint32_t
SeedCount()
{
  const char* text = std::getenv("SOAK_SEEDS");
  uint32_t count = 0;
  return text != nullptr && ParseNumber(text, count) ? count : 2000;
}

} // namespace hibiscushold
