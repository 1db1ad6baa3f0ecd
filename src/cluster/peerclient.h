#pragma once

#include "core/http.h"
#include "core/tokenset.h"

#include <json/value.h>

#include <string>

namespace hibiscushold {

/// Path of the JSON-RPC endpoint on the peer port.
inline constexpr const char* kRpcPath = "/rpc";

/// Calls the JSON-RPC methods of other nodes. Thread-safe.
class PeerClient
{
public:
  /// @param aTokens tokens that authenticate this process to the other node
  /// @param aPath kRpcPath for peers, or the path for operators
  PeerClient(HttpClient& aClient,
             const TokenSet& aTokens,
             std::string aPath = kRpcPath);

  /// @param aPeer the node's address
  /// @param aMethod name of the method
  /// @param aParams its parameters, a JSON object
  /// @param aDeadline when to give up
  /// @return the result; ConnectFailed when nothing was sent;
  ///         PeerUnavailable when the call may have taken effect; Unauthorized
  ///         when the node rejected the token; else the error that the node
  ///         returned
  Result<Json::Value> Call(const Endpoint& aPeer,
                           const std::string& aMethod,
                           const Json::Value& aParams,
                           TimePoint aDeadline);

private:
  HttpClient& mClient;
  const TokenSet& mTokens;
  const std::string mPath;
};

} // namespace hibiscushold
