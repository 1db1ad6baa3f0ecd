#pragma once

#include "observe/metrics.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <string>

namespace hibiscushold {

/// Creates the request handlers of a port for readiness checks and metrics.
class StatusHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  /// @param aReadyPath path of the load balancer's readiness check; the metrics
  ///        are at /metrics
  /// @param aIsReady called for each readiness check
  StatusHandlerFactory(std::string aReadyPath,
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
