#pragma once

#include "core/http.h"
#include "fleet/config.h"
#include "gateway/dialect.h"
#include "serve/refusal.h"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>
#include <vector>

namespace hibiscushold {

/// A caller's request as it is forwarded.
struct GatewayRequest
{
  std::string mId;
  std::string mMethod;
  std::string mUri;
  std::vector<HttpField> mFields; ///< forwarded with every try
  std::string mBody;
  std::string mModel;
  uint64_t mLastEvent = 0; ///< id of the last event that the caller has
  uint32_t mPromptTokens = 0;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  const FleetRoute* mRoute = nullptr; ///< of mConfig
  FleetConfigPtr mConfig;
  std::string mAccount;
  std::string mService;

  /// @return whether another target may run the request again
  bool MayRepeat() const
  {
    return mRoute->mRepeats == Repeats::Idempotent ||
           (mRoute->mRepeats == Repeats::Stream && mRoute->mResumable);
  }
};

/// Reads the head of a request and matches it with the configuration.
/// @param aFraction random, at least 0 and less than 1; splits a route
Answerable<GatewayRequest>
ReadHead(const Poco::Net::HTTPServerRequest& aRequest,
         const FleetConfigPtr& aConfig,
         const Dialect& aDialect,
         TimePoint aNow,
         double aFraction);

/// Reads the whole body.
/// @return InvalidRequest when it was cut off or is framed in no valid way
Answerable<void>
ReadBody(Poco::Net::HTTPServerRequest& aRequest, GatewayRequest& aInto);

} // namespace hibiscushold
