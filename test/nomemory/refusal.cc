#include "nomemory/refusal.h"

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <dlfcn.h>
#include <pthread.h>

// The C library's own functions, beside those that are replaced here.
// NOLINTBEGIN(bugprone-reserved-identifier, readability-identifier-naming)
extern "C" void*
__libc_malloc(size_t aSize);
extern "C" void*
__libc_calloc(size_t aCount, size_t aSize);
extern "C" void*
__libc_realloc(void* aBlock, size_t aSize);
// NOLINTEND(bugprone-reserved-identifier, readability-identifier-naming)

namespace {

thread_local bool tIsArmed = false;
thread_local size_t tGranted = 0;
thread_local size_t tToRefuse = 0;
thread_local bool tHasRefused = false;
thread_local size_t tLargest = 0;
std::atomic<size_t> gRefused{ 0 };
std::atomic<bool> gRefusesThreads{ false };

bool
IsRefused(size_t aSize)
{
  tLargest = aSize > tLargest ? aSize : tLargest;
  if (!tIsArmed) {
    return false;
  }
  if (tGranted > 0) {
    --tGranted;
    return false;
  }
  if (tToRefuse == 0) {
    return false;
  }
  --tToRefuse;
  tHasRefused = true;
  ++gRefused;
  errno = ENOMEM;
  return true;
}

} // namespace

extern "C" void*
malloc(size_t aSize)
{
  return IsRefused(aSize) ? nullptr : __libc_malloc(aSize);
}

extern "C" void*
calloc(size_t aCount, size_t aSize)
{
  return IsRefused(aCount * aSize) ? nullptr : __libc_calloc(aCount, aSize);
}

extern "C" void*
realloc(void* aBlock, size_t aSize)
{
  return IsRefused(aSize) ? nullptr : __libc_realloc(aBlock, aSize);
}

extern "C" int
pthread_create(pthread_t* aThread,
               const pthread_attr_t* aAttributes,
               void* (*aRun)(void*),
               void* aArgument)
{
  if (gRefusesThreads) {
    return EAGAIN;
  }
  static const auto create = reinterpret_cast<decltype(&pthread_create)>(
    dlsym(RTLD_NEXT, "pthread_create"));
  return create(aThread, aAttributes, aRun, aArgument);
}

namespace hibiscushold::nomemory {

MemoryRefusal::MemoryRefusal(size_t aGranted, size_t aRefused)
{
  tHasRefused = false;
  RefuseNext(aGranted, aRefused);
}

MemoryRefusal::~MemoryRefusal()
{
  tIsArmed = false;
}

void
RefuseNext(size_t aGranted, size_t aRefused)
{
  tGranted = aGranted;
  tToRefuse = aRefused;
  tIsArmed = true;
}

size_t
CountRefused()
{
  return gRefused;
}

bool
MemoryRefusal::HasRefused()
{
  return tHasRefused;
}

AllocationMeter::AllocationMeter()
{
  tLargest = 0;
}

size_t
AllocationMeter::Largest()
{
  return tLargest;
}

ThreadRefusal::ThreadRefusal()
{
  gRefusesThreads = true;
}

ThreadRefusal::~ThreadRefusal()
{
  gRefusesThreads = false;
}

} // namespace hibiscushold::nomemory
