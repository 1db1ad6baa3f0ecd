#include "core/parallel.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace hibiscushold {

void
ForEachInParallel(size_t aCount,
                  size_t aThreads,
                  const std::function<void(size_t)>& aTask)
{
  std::atomic<size_t> next{ 0 };
  std::vector<std::jthread> threads;
  for (size_t i = 0; i < std::min(aCount, aThreads); ++i) {
    threads.emplace_back([&] {
      for (size_t n = next++; n < aCount; n = next++) {
        aTask(n);
      }
    });
  }
}

} // namespace hibiscushold
