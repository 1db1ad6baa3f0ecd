#pragma once

#include "core/http.h"
#include "groups/probetable.h"

#include <string>

namespace hibiscushold {

/// Assigns an engine to a group and names the model to load. An empty group
/// releases the VM.
struct Order
{
  uint64_t mFencing = 0; ///< Domain::mOrderNumber; engines refuse lower ones
  std::string mGroup;
  uint64_t mGeneration = 0;
  uint32_t mRank = 0;
  uint32_t mSize = 0;
  std::string mModel;
};

/// Client of the engines' control protocol.
class EngineClient
{
public:
  explicit EngineClient(HttpClient& aClient);

  /// Fetches an engine's status.
  /// @return the status, ReplyInvalid for a reply of another status than 200 or
  ///         a malformed body, or the error of the call
  Result<EngineStatus> Status(const Endpoint& aTo, TimePoint aDeadline);

  /// Sends an order. Success means that the engine accepted it; Status shows
  /// whether it has taken effect.
  /// @return OrderRefused when the engine rejected the order, or the error of
  ///         the call
  Result<void> SendOrder(const Endpoint& aTo,
                         const Order& aOrder,
                         TimePoint aDeadline);

private:
  HttpClient& mClient;
};

} // namespace hibiscushold
