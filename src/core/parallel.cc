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
    try {
      for (size_t i = 1; i < std::min(aCount, aThreads); ++i) {
        threads.emplace_back(run);
      }
    } catch (const std::exception&) {
      // All calls are made nevertheless, by the threads that run.
    }
    run();
  }
  if (first) {
    std::rethrow_exception(first);
  }
}

} // namespace hibiscushold
