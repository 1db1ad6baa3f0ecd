#pragma once

namespace hibiscushold {

/// Sets how the process uses memory, for machines with little of it. Call once
/// at the start, before threads are started.
///
/// Large blocks go back to the system as soon as they are freed; by default,
/// the allocator keeps them for the thread that used them. And each thread
/// reserves little address space, which may be bounded: by default, it is 8 MB
/// for its stack, and 64 MB more for the allocator's arena of each of the first
/// threads, up to eight times the number of cores.
void
LimitMemoryUse();

} // namespace hibiscushold
