#include "cluster/peerclient.h"

#include "cluster/rpcclient.h"
#include "cluster/rpccode.h"
#include "core/json.h"

namespace hibiscushold {

PeerClient::PeerClient(HttpClient& aClient,
                       const TokenSet& aTokens,
                       std::string aPath)
  : mClient(aClient)
  , mTokens(aTokens)
  , mPath(std::move(aPath))
{
}

Result<Json::Value>
PeerClient::Call(const Endpoint& aPeer,
                 const std::string& aMethod,
                 const Json::Value& aParams,
                 TimePoint aDeadline)
{
  Failure noResult{ Error::PeerUnavailable, ToString(aPeer), "" };
  bool unauthorized = false;
  bool answered = false;
  const RpcTransport transport = [&](const std::string& aMessage,
                                     std::string& aAnswer) {
    HttpRequest request{ "POST",
                         mPath,
                         { { "Authorization", mTokens.AuthorizationValue() },
                           { "Content-Type", "application/json" } },
                         aMessage };
    Result<HttpReply> reply = mClient.Call(aPeer, request, aDeadline);
    if (!reply) {
      noResult = { reply.error().mError == Error::ConnectFailed
                     ? Error::ConnectFailed
                     : Error::PeerUnavailable,
                   reply.error().mDetail,
                   "" };
      return false;
    }
    if (reply.value().mStatus != 200) {
      unauthorized = reply.value().mStatus == 401;
      return false;
    }
    aAnswer = reply.value().mBody;
    answered = true;
    return true;
  };
  RpcOutcome outcome = CallRpc(transport, aMethod, aParams);
  if (outcome.mOk) {
    return std::move(outcome.mResult);
  }
  if (unauthorized) {
    return Failure{ Error::Unauthorized, ToString(aPeer), "check the token" };
  }
  const std::optional<Error> error = ErrorFromRpcCode(outcome.mCode);
  if (error) {
    return Failure{ *error, outcome.mMessage, TextAt(outcome.mData, "remedy") };
  }
  if (answered) {
    noResult.mDetail += ": " + outcome.mMessage;
  }
  return noResult;
}

} // namespace hibiscushold
