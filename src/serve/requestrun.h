#pragma once

#include "serve/dispatcher.h"

namespace hibiscushold {

/// Runs an admitted request, with retries if its policy allows them. Blocks
/// until the response is complete. Silence of a target alone doesn't end the
/// request; a silent target keeps it until another one has begun to answer.
/// @param aSink receives the events of a streamed response
/// @param aClaim claim of a request that must not run twice, or null
/// @return the response, or why the request was refused
ResultOrRefusal<Dispatcher::Response>
RunRequest(const Dispatcher::Dependencies& aDependencies,
           const Dispatcher::Timeouts& aTimeouts,
           const CallerRequest& aRequest,
           EventSink& aSink,
           const OwnedClaim* aClaim);

} // namespace hibiscushold
