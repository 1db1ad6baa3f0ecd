#include "cluster/rpcclient.h"

#include "core/json.h"

#include <jsonrpccpp/common/errors.h>

#include <utility>

namespace hibiscushold {

namespace {

constexpr const char* kVersion = "2.0";
/// A connection carries one call at a time, so all may have the same id.
constexpr int kCallId = 1;

std::string
RenderCall(const std::string& aMethod, const Json::Value& aParams)
{
  Json::Value call;
  call["jsonrpc"] = kVersion;
  call["id"] = kCallId;
  call["method"] = aMethod;
  call["params"] = aParams;
  return ToJson(call);
}

RpcOutcome
InvalidAnswer()
{
  RpcOutcome outcome;
  outcome.mCode = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
  outcome.mMessage = "not an answer of JSON-RPC 2.0 to this call";
  return outcome;
}

RpcOutcome
ErrorOutcome(const Json::Value& aError)
{
  if (!aError.isObject() || !aError["code"].isInt()) {
    return InvalidAnswer();
  }
  RpcOutcome outcome;
  outcome.mCode = aError["code"].asInt();
  outcome.mMessage = TextAt(aError, "message");
  outcome.mData = aError["data"];
  return outcome;
}

RpcOutcome
ParseAnswer(std::string_view aText)
{
  Result<Json::Value> parsed = ParseJsonObject(aText);
  if (!parsed) {
    return InvalidAnswer();
  }
  Json::Value& answer = parsed.value();
  // An error before the call could be read has no id.
  if (TextAt(answer, "jsonrpc") != kVersion) {
    return InvalidAnswer();
  }
  if (answer.isMember("error")) {
    return ErrorOutcome(answer["error"]);
  }
  if (NumberAt(answer, "id") != kCallId || !answer.isMember("result")) {
    return InvalidAnswer();
  }
  RpcOutcome outcome;
  outcome.mOk = true;
  outcome.mResult = std::move(answer["result"]);
  return outcome;
}

} // namespace

RpcOutcome
CallRpc(const RpcTransport& aTransport,
        const std::string& aMethod,
        const Json::Value& aParams)
{
  std::string answer;
  if (!aTransport(RenderCall(aMethod, aParams), answer)) {
    RpcOutcome outcome;
    outcome.mCode = jsonrpc::Errors::ERROR_CLIENT_CONNECTOR;
    return outcome;
  }
  return ParseAnswer(answer);
}

} // namespace hibiscushold
