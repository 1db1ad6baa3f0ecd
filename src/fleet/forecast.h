#pragma once

#include "fleet/config.h"
#include "fleet/targetloads.h"

namespace hibiscushold {

/// Computes when a request that is sent now would get its first event. An
/// engine reads waiting prompts in order, a bounded part in each pass, while
/// all its streams write; a request beyond its slots waits until streams end.
/// @param aTimes of the target
/// @param aSlots requests that the target runs at once
/// @param aLoad the target's load, with that of other nodes
/// @param aPromptTokens of the request
/// @param aIsDelayed the engine serves other requests first; otherwise, delayed
///        ones wait for this one
/// @return milliseconds from now; 0 for targets that are not engines
double
ForecastFirstEvent(const TargetTimes& aTimes,
                   uint32_t aSlots,
                   const TargetLoad& aLoad,
                   uint32_t aPromptTokens,
                   bool aIsDelayed = false);

/// @return the wait of a new request for its first event, in milliseconds, that
///         recent requests of this node at the target suggest; zero when there
///         are none
double
MeasuredFirstEventMillis(const TargetLoad& aLoad, TimePoint aNow);

} // namespace hibiscushold
