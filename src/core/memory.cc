#include "core/memory.h"

#include <malloc.h>

namespace hibiscushold {

void
ReturnFreedBlocks()
{
  // A threshold that is set does not rise with the size of freed blocks.
  constexpr int kLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

} // namespace hibiscushold
