#pragma once

#include "fleet/targetchoice.h"

namespace hibiscushold {

/// Computes when a request that is sent now would get its first event. An
/// engine reads waiting prompts in order, a bounded part in each pass, while
/// all its streams write; a request beyond its slots waits until streams end.
/// @param aTarget head of a group
/// @param aLoad the target's load, with that of other nodes
/// @param aPromptTokens of the request
/// @return milliseconds from now; 0 for targets that are not engines
double
ForecastFirstEvent(const FleetTarget& aTarget,
                   const TargetLoad& aLoad,
                   uint32_t aPromptTokens);

} // namespace hibiscushold
