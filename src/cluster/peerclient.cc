#include "cluster/peerclient.h"

#include "cluster/rpcclient.h"
#include "cluster/rpccode.h"
#include "core/compress.h"
#include "core/json.h"
#include "core/number.h"

namespace hibiscushold {

namespace {

/// @return the body as it was before it was compressed, if it was
Result<std::string>
OriginalBody(HttpReply aReply)
{
  if (FindField(aReply.mFields, "Content-Encoding") != kDeflateEncoding) {
    return std::move(aReply.mBody);
  }
  size_t length = 0;
  const std::optional<std::string> text =
    FindField(aReply.mFields, kOriginalLengthField);
  if (!text || !ParseNumber(*text, length) || length > kMaxReplyBytes) {
    return Failure{ Error::ReplyInvalid, kOriginalLengthField, "" };
  }
  return Inflate(aReply.mBody, length);
}

} // namespace

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
                           { "Content-Type", "application/json" },
                           { "Accept-Encoding", kDeflateEncoding } },
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
    answered = true;
    Result<std::string> body = OriginalBody(std::move(reply.value()));
    if (!body) {
      noResult.mDetail += ": " + Describe(body.error());
      return false;
    }
    aAnswer = std::move(body.value());
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
