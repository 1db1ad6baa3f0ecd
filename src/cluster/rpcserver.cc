#include "cluster/rpcserver.h"

#include "cluster/rpccode.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace hibiscushold {

RpcServer::RpcServer()
  : mProtocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
      jsonrpc::JSONRPC_SERVER_V2,
      *this))
{
  SetHandler(mProtocol.get());
}

RpcServer::~RpcServer() = default;

void
RpcServer::AddMethod(const std::string& aName, Method aMethod)
{
  mMethods[aName] = std::move(aMethod);
  mProtocol->AddProcedure(jsonrpc::Procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string
RpcServer::HandleMessage(const std::string& aMessage)
{
  std::string answer;
  OnRequest(aMessage, &answer);
  return answer;
}

bool
RpcServer::SendResponse(const std::string& aResponse, void* aInfo)
{
  *static_cast<std::string*>(aInfo) = aResponse;
  return true;
}

void
RpcServer::HandleMethodCall(jsonrpc::Procedure& aProcedure,
                            const Json::Value& aInput,
                            Json::Value& aOutput)
{
  const auto it = mMethods.find(aProcedure.GetProcedureName());
  Result<Json::Value> result = it->second(aInput);
  if (!result) {
    const Failure& failure = result.error();
    Json::Value data;
    data["error"] = ErrorName(failure.mError);
    data["remedy"] = failure.mRemedy;
    throw jsonrpc::JsonRpcException(
      ToRpcCode(failure.mError), failure.mDetail, data);
  }
  aOutput = std::move(result.value());
}

void
RpcServer::HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&)
{
}

} // namespace hibiscushold
