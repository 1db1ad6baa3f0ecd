#pragma once

#include "core/serversession.h"
#include "core/settings.h"
#include "serve/request.h"

namespace hibiscushold {

/// Reads and validates a caller's request: framing, API key, body, route and
/// idempotency key.
/// @param aRequest the request; its body is read
/// @param aId id assigned to the request
/// @param aConfig rules against which the request is matched
/// @return the request, or a refusal with Ran::No, also for a truncated body
ResultOrRefusal<CallerRequest>
ReadRequest(ServerRequest& aRequest,
            const std::string& aId,
            const ActiveConfigPtr& aConfig,
            const Settings& aSettings,
            const Clock& aClock);

/// Refuses, with Ran::No, a request that the active rules may route wrongly
/// because they may be out of date.
/// @param aConfigState the versions of the rules that this member knows
/// @param aState inputs of the freshness check
/// @param aNow current time
ResultOrRefusal<void>
CheckFreshness(const CallerRequest& aRequest,
               const ConfigAgent::ConfigState& aConfigState,
               const FreshnessState& aState,
               TimePoint aNow);

} // namespace hibiscushold
