#include "config/head.h"

#include "core/json.h"

namespace hibiscushold {

Json::Value
VersionToJson(const ConfigVersion& aVersion)
{
  Json::Value json;
  json["version"] = Json::UInt64(aVersion.mVersion);
  json["body"] = aVersion.mBodyKey;
  return json;
}

ConfigVersion
VersionFromJson(const Json::Value& aJson)
{
  return { NumberAt(aJson, "version"), TextAt(aJson, "body") };
}

std::string
SerializeHead(const ConfigHead& aHead)
{
  Json::Value json;
  json["accepted"] = VersionToJson(aHead.mAccepted);
  json["accepted_nonce"] = aHead.mAcceptedNonce;
  if (aHead.mPending) {
    Json::Value pending = VersionToJson(aHead.mPending->mTarget);
    pending["coordinator"] = aHead.mPending->mCoordinator;
    pending["nonce"] = aHead.mPending->mNonce;
    json["pending"] = pending;
  }
  return ToJson(json);
}

Result<ConfigHead>
ParseHead(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  ConfigHead head;
  head.mAccepted = VersionFromJson(json["accepted"]);
  head.mAcceptedNonce = TextAt(json, "accepted_nonce");
  if (json["pending"].isObject()) {
    const Json::Value& pending = json["pending"];
    head.mPending = PendingChange{ VersionFromJson(pending),
                                   TextAt(pending, "coordinator"),
                                   TextAt(pending, "nonce") };
  }
  return head;
}

} // namespace hibiscushold
