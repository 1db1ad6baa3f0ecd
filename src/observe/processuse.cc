#include "observe/processuse.h"

#include <array>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace hibiscushold {

namespace {

constexpr size_t kBytesPerMb = 1'000'000;

/// Reads the beginning of a file of the kernel.
/// @param aInto ends with a zero afterwards
void
ReadStart(const char* aPath, std::array<char, 2048>& aInto)
{
  aInto[0] = '\0';
  const int fd = open(aPath, O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return;
  }
  const ssize_t n = read(fd, aInto.data(), aInto.size() - 1);
  aInto[n > 0 ? static_cast<size_t>(n) : 0] = '\0';
  close(fd);
}

} // namespace

ProcessUse
MeasureProcess() noexcept
{
  ProcessUse use;
  std::array<char, 2048> text;
  ReadStart("/proc/self/statm", text);
  if (std::sscanf(
        text.data(), "%zu %zu", &use.mAddressSpaceBytes, &use.mResidentBytes) ==
      2) {
    const auto pageBytes = static_cast<size_t>(sysconf(_SC_PAGESIZE));
    use.mAddressSpaceBytes *= pageBytes;
    use.mResidentBytes *= pageBytes;
  }
  ReadStart("/proc/self/status", text);
  if (const char* line = std::strstr(text.data(), "Threads:")) {
    std::sscanf(line, "Threads: %zu", &use.mThreads);
  }
  return use;
}

std::string
Describe(const ProcessUse& aUse)
{
  return "resident " + std::to_string(aUse.mResidentBytes / kBytesPerMb) +
         " MB, address space " +
         std::to_string(aUse.mAddressSpaceBytes / kBytesPerMb) + " MB, " +
         std::to_string(aUse.mThreads) + " threads";
}

} // namespace hibiscushold
