#pragma once

#include <chrono>
#include <cstdint>

namespace hibiscushold::emulator {

using std::chrono::milliseconds;

/// Milliseconds since the start of the run, by one steady clock for everything
/// that is recorded.
class Timeline
{
public:
  int64_t Now() const
  {
    return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - mStart)
      .count();
  }

private:
  const std::chrono::steady_clock::time_point mStart =
    std::chrono::steady_clock::now();
};

} // namespace hibiscushold::emulator
