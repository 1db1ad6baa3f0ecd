#pragma once

#include <json/value.h>

#include <functional>
#include <string>

namespace hibiscushold {

/// Result of one JSON-RPC call.
struct RpcOutcome
{
  bool mOk = false;
  int mCode = 0; ///< JSON-RPC error code when not ok
  std::string mMessage;
  Json::Value mData;   ///< data of the error when not ok
  Json::Value mResult; ///< result when ok
};

/// Sends one message to the peer and receives its answer.
/// @return false when no answer arrived
using RpcTransport =
  std::function<bool(const std::string& aMessage, std::string& aAnswer)>;

/// Makes one JSON-RPC 2.0 call over the given transport. The client of
/// libjsonrpccpp isn't used: its functions have dynamic exception
/// specifications, so an exception of another type, such as std::bad_alloc,
/// ends the process there.
RpcOutcome
CallRpc(const RpcTransport& aTransport,
        const std::string& aMethod,
        const Json::Value& aParams);

} // namespace hibiscushold
