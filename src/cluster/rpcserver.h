#pragma once

#include "core/errors.h"

#include <json/value.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hibiscushold {

/// Dispatches JSON-RPC 2.0 messages to methods. All methods are added before
/// the first message; after that the server is thread-safe.
class RpcServer final
  : private jsonrpc::AbstractServerConnector
  , private jsonrpc::IProcedureInvokationHandler
{
public:
  using Method = std::function<Result<Json::Value>(const Json::Value&)>;

  RpcServer();
  ~RpcServer() override;

  /// Adds a method that takes an object of named parameters.
  void AddMethod(const std::string& aName, Method aMethod);

  /// Runs the method that a message calls.
  /// @param aMessage a JSON-RPC request
  /// @return the JSON-RPC response
  std::string HandleMessage(const std::string& aMessage);

private:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInfo) override;
  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override;
  void HandleNotificationCall(jsonrpc::Procedure& aProcedure,
                              const Json::Value& aInput) override;

  std::map<std::string, Method> mMethods;
  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;
};

} // namespace hibiscushold
