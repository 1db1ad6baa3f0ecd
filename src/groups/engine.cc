#include "groups/engine.h"

#include "core/json.h"

namespace hibiscushold {

EngineClient::EngineClient(HttpClient& aClient)
  : mClient(aClient)
{
}

Result<EngineStatus>
EngineClient::Status(const Endpoint& aTo, TimePoint aDeadline)
{
  const HttpRequest request{ "GET", "/status", {}, {} };
  BOOST_OUTCOME_TRY(reply, mClient.Call(aTo, request, aDeadline));
  if (reply.mStatus != 200) {
    return Failure{ Error::ReplyInvalid,
                    ToString(aTo) + ": status " + std::to_string(reply.mStatus),
                    "" };
  }
  return ParseEngineStatus(reply.mBody);
}

Result<void>
EngineClient::SendOrder(const Endpoint& aTo,
                        const Order& aOrder,
                        TimePoint aDeadline)
{
  Json::Value json;
  json["fencing"] = Json::UInt64(aOrder.mFencing);
  json["group"] = aOrder.mGroup;
  json["generation"] = Json::UInt64(aOrder.mGeneration);
  json["rank"] = aOrder.mRank;
  json["size"] = aOrder.mSize;
  json["model"] = aOrder.mModel;
  const HttpRequest request{ "PUT", "/order", {}, ToJson(json) };
  BOOST_OUTCOME_TRY(reply, mClient.Call(aTo, request, aDeadline));
  if (reply.mStatus != 200) {
    return Failure{ Error::OrderRefused,
                    ToString(aTo) + ": " + reply.mBody,
                    "" };
  }
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
