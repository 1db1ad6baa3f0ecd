#pragma once

#include <cstddef>
#include <string>

namespace hibiscushold {

/// What the process uses, 0 where it can't be read.
struct ProcessUse
{
  size_t mResidentBytes = 0;
  size_t mAddressSpaceBytes = 0;
  size_t mThreads = 0;
};

/// Takes no memory, so that it works where memory is refused.
ProcessUse
MeasureProcess() noexcept;

/// @return the use for a log event, such as "resident 21 MB, address space 140
///         MB, 33 threads"
std::string
Describe(const ProcessUse& aUse);

} // namespace hibiscushold
