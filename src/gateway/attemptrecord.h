#pragma once

#include "gateway/attempt.h"
#include "gateway/callerrequest.h"
#include "gateway/gateway.h"

namespace hibiscushold {

/// Updates the load and the pooled connections of a target with the outcome of
/// an attempt.
void
RecordOutcome(const GatewayDependencies& aDependencies,
              const FleetTarget& aTarget,
              const ExchangeReport& aReport);

/// Keeps new requests away from a target that is stalled, for a time.
void
AvoidStalledTarget(const GatewayDependencies& aDependencies,
                   const FleetRoute& aRoute,
                   const FleetTarget& aTarget);

/// Records what the outcome of an attempt says about whether the request
/// crashes targets.
/// @param aSentAt start of the attempt
void
RecordEvidence(const GatewayDependencies& aDependencies,
               const GatewayRequest& aRequest,
               const FleetTarget& aTarget,
               const ExchangeReport& aReport,
               TimePoint aSentAt);

/// Logs an attempt and counts its outcome.
void
LogAttempt(const GatewayDependencies& aDependencies,
           const GatewayRequest& aRequest,
           const FleetTarget& aTarget,
           const ExchangeReport& aReport,
           const LoadAtChoice& aLoad);

/// Why and where a response was cut.
struct CutResponse
{
  std::string_view mReason; ///< why no further attempt is made; stable
  bool mStarted = false;    ///< part of the response was sent
  uint32_t mAttempts = 0;   ///< attempts that sent part of the request
  uint64_t mLastEvent = 0;  ///< id of the last event sent to the caller
};

/// Logs and counts a response that ends by a reset of the caller's connection.
void
LogCut(const GatewayDependencies& aDependencies,
       const GatewayRequest& aRequest,
       const CutResponse& aCut);

} // namespace hibiscushold
