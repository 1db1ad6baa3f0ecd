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

/// What the callers' port needs of the node.
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
  milliseconds mKeyFreshness{ 5000 }; ///< a key is believed for so long
  const std::atomic<bool>& mStopping;
  const std::atomic<bool>& mClosed; ///< no new request is taken any more
  std::atomic<uint32_t>& mRunning;  ///< requests that are being answered
};

/// Makes the handlers of the callers' port.
class GatewayFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit GatewayFactory(GatewayParts aParts);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  const GatewayParts mParts;
};

/// @return whether the node knows rules that are fresh enough to serve
bool
IsReady(const GatewayParts& aParts);

} // namespace hibiscushold
