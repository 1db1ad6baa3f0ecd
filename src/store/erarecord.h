#pragma once

#include "store/platform.h"

namespace hibiscushold {

/// After the store has returned from an older copy, its contents are complete
/// again some seconds later. Nodes that have waited for that record it in the
/// store, under a key with the era, so that nodes which start later need not
/// wait.

/// @param aEra at least 1
/// @return whether the era is recorded as complete; no if the store does not
///         answer
bool
IsEraComplete(Platform& aStore, uint64_t aEra);

/// Records that the era is complete. Does nothing if it is recorded already.
/// @param aEra at least 1
Result<void>
RecordCompleteEra(Platform& aStore, uint64_t aEra);

} // namespace hibiscushold
