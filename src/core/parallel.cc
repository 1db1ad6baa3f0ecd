#include "core/parallel.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

namespace hibiscushold {

void
ForEachInParallel(size_t aCount,
                  size_t aThreads,
                  const std::function<void(size_t)>& aTask)
{
  std::atomic<size_t> next{ 0 };
  std::mutex lock;
  std::exception_ptr first;
  const auto run = [&] {
    for (size_t n = next++; n < aCount; n = next++) {
      try {
        aTask(n);
      } catch (...) {
        const std::lock_guard guard(lock);
        first = first ? first : std::current_exception();
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (size_t i = 0; i < std::min(aCount, aThreads); ++i) {
      threads.emplace_back(run);
    }
  }
  if (first) {
    std::rethrow_exception(first);
  }
}

} // namespace hibiscushold
