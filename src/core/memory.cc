#include "core/memory.h"

#include <malloc.h>
#include <pthread.h>

namespace hibiscushold {

namespace {

/// A threshold that is set does not rise with the size of freed blocks.
constexpr int kLargeBlockBytes = 128 * 1024;
/// A node has a fraction of a core, so its threads seldom allocate at once.
constexpr int kMaxArenas = 2;
/// Of threads that don't set their own.
#if defined(__SANITIZE_THREAD__)
constexpr size_t kThreadStackBytes = size_t{ 8 } * 1024 * 1024; // has its state
#else
constexpr size_t kThreadStackBytes = size_t{ 512 } * 1024;
#endif

} // namespace

void
LimitMemoryUse()
{
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
  pthread_attr_t attributes;
  if (pthread_attr_init(&attributes) == 0) {
    // The size is a multiple of the page size, so neither call can fail.
    pthread_attr_setstacksize(&attributes, kThreadStackBytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
  }
}

} // namespace hibiscushold
