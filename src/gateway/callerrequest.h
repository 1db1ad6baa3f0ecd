#pragma once

#include "admission/room.h"
#include "core/bytebudget.h"
#include "core/serversession.h"
#include "fleet/config.h"
#include "fleet/crashevidence.h"
#include "gateway/protocolnames.h"
#include "serve/refusal.h"

#include <string>
#include <vector>

namespace hibiscushold {

/// A caller's request with everything needed to forward it to a target.
struct GatewayRequest
{
  std::string mId;
  std::string mMethod;
  std::string mUri;
  std::vector<HttpField> mFields; ///< headers forwarded with every attempt
  std::string mBody;
  BudgetedBytes mHeldBytes; ///< for the body
  std::string mModel;
  uint64_t mLastEvent = 0; ///< id of the last event the caller has received
  uint32_t mPromptTokens = 0;
  RequestTraits mTraits;
  TimePoint mArrivedAt;
  TimePoint mFirstSentAt; ///< of the caller's first attempt
  TimePoint mDeadline;
  Urgency mUrgency;
  const FleetRoute* mRoute = nullptr; ///< points into mConfig
  FleetConfigPtr mConfig;
  std::string mAccount;
  std::string mAuthorization; ///< header with the caller's key
  std::string mService;
  bool mIsFromPeer = false; ///< another node has passed it on

  /// @return whether the request may be sent again after it may have run
  bool AllowsRetry() const
  {
    return mRoute->mRetryPolicy == RetryPolicy::Idempotent ||
           (mRoute->mRetryPolicy == RetryPolicy::Stream && mRoute->mResumable);
  }
};

/// Parses the head of a request, finds its route and authenticates the caller.
/// @param aFraction random number in [0, 1) that picks one of the route's
///                  services by weight
/// @return the request without its body, or the refusal for the caller
ResultOrRefusal<GatewayRequest>
ReadHead(const RequestHead& aHead,
         const FleetConfigPtr& aConfig,
         const ProtocolNames& aProtocol,
         TimePoint aNow,
         double aFraction);

/// Reads the whole body into aInto.mBody and adds it to the hashes of content
/// and resource.
/// @param aBodies bounds the bodies of all requests
/// @return Overloaded if the bodies of other requests leave no room,
///         InvalidRequest if the body is cut off or its chunks are malformed,
///         BodyTooLarge if it exceeds the configured limit, DeadlinePassed if
///         it has not arrived by the deadline of aInto
ResultOrRefusal<void>
ReadBody(ServerRequest& aRequest, ByteBudget& aBodies, GatewayRequest& aInto);

} // namespace hibiscushold
