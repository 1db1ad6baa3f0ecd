#pragma once

#include "fleet/board.h"

namespace hibiscushold {

/// Readies the VMs that are left over. A spare sits alone in a group that
/// never opens, so that it can join the next one at once. Spares that hold no
/// model, or one that completes no group, load the one that their domain needs
/// most.
void
LoadSpares(Board& aBoard);

} // namespace hibiscushold
