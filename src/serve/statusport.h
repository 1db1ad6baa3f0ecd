#pragma once

#include "observe/metrics.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <string>

namespace hibiscushold {

/// Makes the handlers of the port that a balancer and a metrics collector ask.
class StatusPortFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  /// @param aReadyPath path of the balancer's check; /metrics serves counters
  StatusPortFactory(std::string aReadyPath,
                    std::function<bool()> aIsReady,
                    const Metrics& aMetrics);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  const std::string mReadyPath;
  const std::function<bool()> mIsReady;
  const Metrics& mMetrics;
};

} // namespace hibiscushold
