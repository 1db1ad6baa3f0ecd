#pragma once

#include <cstddef>
#include <functional>

namespace hibiscushold {

/// Calls aTask once for each index from 0 to aCount - 1, on the calling thread
/// and on aThreads - 1 others, or as many of them as can be started. Returns
/// when all calls have ended; throws the first exception of them, if any.
void
ForEachInParallel(size_t aCount,
                  size_t aThreads,
                  const std::function<void(size_t)>& aTask);

} // namespace hibiscushold
