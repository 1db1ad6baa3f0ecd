#pragma once

#include "placement/formationcontext.h"

namespace hibiscushold {

/// Prepares the free VMs that no group needs, as spares. A spare starts a model
/// in a single-VM group that never opens, so that it can join a group without
/// delay. Spares without a model, or with one that completes no group, load the
/// model that their domain needs most.
void
PrepareSpares(FormationContext& aContext);

} // namespace hibiscushold
