#include "relay/feedmethods.h"

#include "core/json.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr const char* kFollowMethod = "follow";
/// Time allowed for a response beyond its wait: it takes some milliseconds, a
/// few hundred on a busy node. A failed node must be detected well within a
/// second.
constexpr auto kResponseGrace = milliseconds(300);
/// Longer for a full listing, as one of all VMs takes time on a small node's
/// link.
constexpr auto kListGrace = milliseconds(1200);
/// Upper bound on the wait that a follower can request.
constexpr auto kMaxWait = milliseconds(5000);
/// Taken for the age of a response that states none; too old to be used.
constexpr uint32_t kUnknownAgeMillis = 3'600'000;

Json::Value
ToJsonValue(const FeedResponse& aResponse)
{
  Json::Value json;
  json["revision"] = Json::UInt64(aResponse.mListing.mRevision);
  json["age_ms"] = Json::Int64(ToMillis(aResponse.mAge) + 1);
  json["objects"] = Json::Value(Json::arrayValue);
  for (const Object& it : aResponse.mListing.mObjects) {
    Json::Value object;
    object["key"] = it.mKey;
    object["version"] = Json::UInt64(it.mVersion);
    object["value"] = it.mValue;
    json["objects"].append(std::move(object));
  }
  json["deleted"] = Json::Value(Json::arrayValue);
  for (const std::string& it : aResponse.mListing.mDeleted) {
    json["deleted"].append(it);
  }
  return json;
}

FeedResponse
FromJsonValue(const Json::Value& aJson)
{
  FeedResponse response;
  response.mListing.mRevision = NumberAt(aJson, "revision");
  response.mAge = milliseconds(CountAt(aJson, "age_ms", kUnknownAgeMillis));
  for (const Json::Value& it : ArrayAt(aJson, "objects")) {
    response.mListing.mObjects.push_back(
      { TextAt(it, "key"), NumberAt(it, "version"), TextAt(it, "value") });
  }
  for (const Json::Value& it : ArrayAt(aJson, "deleted")) {
    if (it.isString()) {
      response.mListing.mDeleted.push_back(it.asString());
    }
  }
  return response;
}

} // namespace

void
AddFeedMethods(RpcServer& aServer,
               FeedCache& aFeeds,
               const Clock& aClock,
               const std::atomic<bool>& aStopping)
{
  aServer.AddMethod(
    kFollowMethod,
    [&aFeeds, &aClock, &aStopping](
      const Json::Value& aParams) -> Result<Json::Value> {
      if (aStopping) {
        return Failure{ Error::PeerRefused, "the node stops", "ask another" };
      }
      const milliseconds wait(NumberAt(aParams, "wait_ms"));
      BOOST_OUTCOME_TRY(
        response,
        aFeeds.WaitForChanges(TextAt(aParams, "prefix"),
                              NumberAt(aParams, "since"),
                              aClock.Now() +
                                std::min<milliseconds>(wait, kMaxWait)));
      return ToJsonValue(response);
    });
}

PeerReader
MakePeerReader(HttpClient& aClient, const Clock& aClock)
{
  return [&aClient, &aClock](const RosterEntry& aPeer,
                             std::string_view aPrefix,
                             uint64_t aSince,
                             milliseconds aWait) -> Result<FeedResponse> {
    Json::Value params;
    params["prefix"] = std::string(aPrefix);
    params["since"] = Json::UInt64(aSince);
    params["wait_ms"] = Json::Int64(aWait.count());
    const TokenSet token(aPeer.mToken);
    PeerClient peer(aClient, token);
    const milliseconds grace = aSince == 0 ? kListGrace : kResponseGrace;
    BOOST_OUTCOME_TRY(
      json,
      peer.Call(
        aPeer.mAddress, kFollowMethod, params, aClock.Now() + aWait + grace));
    return FromJsonValue(json);
  };
}

} // namespace hibiscushold
