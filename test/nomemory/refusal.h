#pragma once

#include <cstddef>
#include <cstdint>

namespace hibiscushold::nomemory {

/// Refuses memory to the calling thread for its own lifetime, from some
/// allocation on, whichever function asks for it.
class MemoryRefusal
{
public:
  /// @param aGranted allocations that succeed before
  /// @param aRefused allocations that are refused then, the others succeed
  explicit MemoryRefusal(size_t aGranted, size_t aRefused = SIZE_MAX);
  ~MemoryRefusal();

  MemoryRefusal(const MemoryRefusal&) = delete;
  MemoryRefusal& operator=(const MemoryRefusal&) = delete;

  /// @return whether an allocation was refused
  static bool HasRefused();
};

/// Refuses memory to the calling thread without an end of its own.
/// @param aGranted allocations that succeed before
/// @param aRefused allocations that are refused then
void
RefuseNext(size_t aGranted, size_t aRefused);

/// @return allocations that were refused so far, to any thread
size_t
CountRefused();

/// Refuses the start of any thread for its own lifetime.
class ThreadRefusal
{
public:
  ThreadRefusal();
  ~ThreadRefusal();

  ThreadRefusal(const ThreadRefusal&) = delete;
  ThreadRefusal& operator=(const ThreadRefusal&) = delete;
};

/// Measures what the calling thread asks for during its own lifetime.
class AllocationMeter
{
public:
  AllocationMeter();

  /// @return bytes of the largest allocation so far
  static size_t Largest();
};

/// Calls a function again and again, with each of its allocations refused in
/// turn, until it ends without a refusal.
/// @param aCall makes a MemoryRefusal around what is tested, with the number of
///        allocations that it is passed, and returns whether one was refused
/// @return the number of allocations
template<class Call>
size_t
ForEachAllocation(const Call& aCall)
{
  size_t granted = 0;
  while (aCall(granted)) {
    ++granted;
  }
  return granted;
}

} // namespace hibiscushold::nomemory
