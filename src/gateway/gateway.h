#pragma once

#include "fleet/choice.h"
#include "fleet/repeats.h"
#include "fleet/watcher.h"
#include "gateway/callerport.h"
#include "gateway/dialect.h"
#include "gateway/exchange.h"
#include "observe/metrics.h"
#include "serve/refusal.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <atomic>
#include <functional>

namespace hibiscushold {

/// Dependencies of the request handlers for callers.
struct GatewayParts
{
  const FleetWatcher& mWatcher;
  std::function<FleetTargetsPtr()> mTargets;
  SessionPool& mSessions;
  TargetLoads& mLoads;
  RepeatBudget& mRepeats;
  const Dialect& mDialect;
  Metrics& mMetrics;
  const Clock& mClock;
  std::string mZone;
  milliseconds mKeyFreshness{ 5000 }; ///< how long keys stay accepted after the
                                      ///< configuration was last confirmed
  const std::atomic<bool>& mStopping;
  const std::atomic<bool>& mClosed; ///< new requests are refused
  std::atomic<uint32_t>& mRunning;  ///< requests being handled
};

/// Creates the handlers for callers' requests.
class GatewayFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit GatewayFactory(GatewayParts aDependencies);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  const GatewayParts mDependencies;
};

/// @return whether the node is not stopping and its configuration is recent
///         enough to serve requests
bool
IsReady(const GatewayParts& aDependencies);

} // namespace hibiscushold
