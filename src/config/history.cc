#include "config/history.h"

#include "core/json.h"

namespace hibiscushold {

namespace {

constexpr std::string_view kHistoryPrefix = "config-history/";

/// The end of the body's key contains the change's nonce, so that it identifies
/// the change.
std::string
KeyOf(const ConfigVersion& aVersion)
{
  return std::string(kHistoryPrefix) +
         aVersion.mBodyKey.substr(
           std::min(kConfigBodyPrefix.size(), aVersion.mBodyKey.size()));
}

} // namespace

std::string
SerializeHistoryEntry(const HistoryEntry& aEntry)
{
  Json::Value json;
  json["target"] = VersionToJson(aEntry.mTarget);
  json["base"] = VersionToJson(aEntry.mBase);
  json["node"] = aEntry.mNode;
  json["time_ms"] = Json::Int64(aEntry.mTimeMillis);
  json["requesters"] = Json::Value(Json::arrayValue);
  for (const std::string& it : aEntry.mRequesters) {
    json["requesters"].append(it);
  }
  return ToJson(json);
}

Result<HistoryEntry>
ParseHistoryEntry(std::string_view aText)
{
  BOOST_OUTCOME_TRY(json, ParseJsonObject(aText));
  HistoryEntry entry;
  entry.mTarget = VersionFromJson(json["target"]);
  entry.mBase = VersionFromJson(json["base"]);
  entry.mNode = TextAt(json, "node");
  entry.mTimeMillis = static_cast<int64_t>(NumberAt(json, "time_ms"));
  for (const Json::Value& it : ArrayAt(json, "requesters")) {
    if (it.isString()) {
      entry.mRequesters.push_back(it.asString());
    }
  }
  return entry;
}

Result<void>
StoreHistoryEntry(Platform& aPlatform, const HistoryEntry& aEntry)
{
  BOOST_OUTCOME_TRY(aPlatform.Create(KeyOf(aEntry.mTarget),
                                     SerializeHistoryEntry(aEntry),
                                     CallPriority::Config));
  return boost::outcome_v2::success();
}

Result<std::vector<HistoryEntry>>
ReadHistory(Platform& aPlatform, const ConfigHead& aHead, size_t aMaxEntries)
{
  std::vector<HistoryEntry> entries;
  ConfigVersion next = aHead.mAccepted;
  while (next.mVersion > 0 && entries.size() < aMaxEntries) {
    Result<Object> object = aPlatform.Get(KeyOf(next), CallPriority::Status);
    if (!object && object.error().mError == Error::StoreMissing) {
      break;
    }
    BOOST_OUTCOME_TRY(found, object);
    BOOST_OUTCOME_TRY(entry, ParseHistoryEntry(found.mValue));
    next = entry.mBase;
    entries.push_back(std::move(entry));
  }
  return entries;
}

} // namespace hibiscushold
