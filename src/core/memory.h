#pragma once

namespace hibiscushold {

/// Makes large blocks of memory go back to the system as soon as they are
/// freed. By default, the allocator keeps them for the thread that used them.
/// Call once at the start of the process.
void
ReturnFreedBlocks();

} // namespace hibiscushold
