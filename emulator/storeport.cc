#include "emulator/storeport.h"

#include "platform/wirenames.h"

#include <Poco/URI.h>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <thread>

namespace hibiscushold::emulator {

namespace {

constexpr auto kSilence = milliseconds(3000);
/// Longer than nodes wait for an answer.
constexpr auto kLateness = milliseconds(2500);
constexpr int64_t kMaxWaitMillis = 30000;
constexpr const char* kAllowStale = "allow_stale";

struct StoreCall
{
  std::string mKind;
  std::string mName; ///< empty for the kind as a whole
  std::map<std::string, std::string> mQuery;
};

std::string
ToText(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aJson);
}

Json::Value
ParseText(const std::string& aText)
{
  Json::Value json;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  std::string faults;
  reader->parse(aText.data(), aText.data() + aText.size(), &json, &faults);
  return json;
}

StoreCall
ParseCall(const std::string& aUri)
{
  const Poco::URI uri(aUri);
  std::string path = uri.getPath();
  path.erase(0, std::string_view(wire::kObjectsPath).size());
  const size_t slash = path.find('/');
  StoreCall call{ path.substr(0, slash), "", {} };
  if (slash != std::string::npos) {
    call.mName = path.substr(slash + 1);
  }
  for (const auto& [name, value] : uri.getQueryParameters()) {
    call.mQuery[name] = value;
  }
  return call;
}

Json::Value
ToJson(const StoredObject& aObject)
{
  Json::Value json;
  json[wire::kMetadata][wire::kName] = aObject.mName;
  json[wire::kMetadata][wire::kRevision] = Json::UInt64(aObject.mRevision);
  json[wire::kSpec] = aObject.mSpec;
  return json;
}

Json::Value
ToJson(const ReadResult& aRead, bool aIsWatch)
{
  Json::Value json;
  json[wire::kAsOf] = Json::UInt64(aRead.mRevision);
  Json::Value& items = json[aIsWatch ? wire::kEvents : wire::kItems];
  items = Json::arrayValue;
  for (const StoredObject& it : aRead.mObjects) {
    items.append(ToJson(it));
  }
  for (const StoreChange& it : aRead.mChanges) {
    Json::Value event;
    event[wire::kObject] = ToJson(it.mObject);
    event[wire::kDeletedFlag] = it.mDeleted;
    items.append(event);
  }
  if (!aIsWatch) {
    json[wire::kHasMore] = false;
  }
  return json;
}

int
StatusOf(WriteResult::Status aStatus)
{
  switch (aStatus) {
    case WriteResult::Status::Conflict:
      return 409;
    case WriteResult::Status::Missing:
      return 404;
    case WriteResult::Status::Done:
      break;
  }
  return 200;
}

void
ReplyInEra(HTTPServerResponse& aResponse,
           uint64_t aEra,
           int aStatus,
           const Json::Value& aBody)
{
  aResponse.set(wire::kStoreEra, std::to_string(aEra));
  standin::SendReply(aResponse, aStatus, ToText(aBody));
}

std::optional<uint64_t>
NumberIn(const StoreCall& aCall, const char* aName)
{
  const auto it = aCall.mQuery.find(aName);
  return it == aCall.mQuery.end() ? std::nullopt
                                  : std::optional(std::stoull(it->second));
}

/// @param aStaleLag age of the answer if the call allows a stale one, in ms
void
ServeRead(Store& aStore,
          const Timeline& aTimeline,
          const StoreCall& aCall,
          int64_t aStaleLag,
          HTTPServerResponse& aResponse)
{
  if (const std::optional<uint64_t> since = NumberIn(aCall, wire::kWatch)) {
    const auto wait =
      static_cast<int64_t>(NumberIn(aCall, wire::kWaitMillis).value_or(0));
    const ReadResult read = aStore.Watch(
      aCall.mKind, *since, aTimeline.Now() + std::min(wait, kMaxWaitMillis));
    ReplyInEra(
      aResponse, read.mEra, read.mHistoryGone ? 410 : 200, ToJson(read, true));
    return;
  }
  const bool isStale = aStaleLag > 0 && aCall.mQuery.contains(kAllowStale);
  const ReadResult read =
    isStale
      ? aStore.ReadStale(aCall.mKind, aCall.mName, aTimeline.Now() - aStaleLag)
      : aStore.Read(aCall.mKind, aCall.mName);
  if (aCall.mName.empty()) {
    ReplyInEra(aResponse, read.mEra, 200, ToJson(read, false));
  } else if (read.mObjects.empty()) {
    ReplyInEra(aResponse, read.mEra, 404, Json::objectValue);
  } else {
    ReplyInEra(aResponse, read.mEra, 200, ToJson(read.mObjects[0]));
  }
}

WriteResult
ApplyWrite(Store& aStore,
           const std::string& aMethod,
           const StoreCall& aCall,
           const Json::Value& aBody)
{
  if (aMethod == "DELETE") {
    return aStore.Delete(
      aCall.mKind, aCall.mName, NumberIn(aCall, wire::kRevision));
  }
  const Json::Value& metadata = aBody[wire::kMetadata];
  if (aMethod == "POST") {
    return aStore.Create(
      aCall.mKind, metadata[wire::kName].asString(), aBody[wire::kSpec]);
  }
  const std::optional<uint64_t> revision =
    metadata.isMember(wire::kRevision)
      ? std::optional<uint64_t>(metadata[wire::kRevision].asUInt64())
      : std::nullopt;
  return aStore.Put(aCall.mKind, aCall.mName, aBody[wire::kSpec], revision);
}

} // namespace

StorePort::StorePort(Store& aStore, const Timeline& aTimeline)
  : mStore(aStore)
  , mTimeline(aTimeline)
  , mServer(0,
            [this](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
              Handle(aRequest, aResponse);
            })
{
}

bool
StorePort::TurnsAway(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse)
{
  switch (mAccess) {
    case StoreAccess::Open:
      return false;
    case StoreAccess::Busy:
      standin::SendReply(aResponse, 503, "{}");
      return true;
    case StoreAccess::Silent:
      std::this_thread::sleep_for(kSilence);
      break;
    case StoreAccess::Reset:
      break;
  }
  standin::CutConnection(aRequest);
  return true;
}

void
StorePort::ServeWrite(HTTPServerRequest& aRequest,
                      HTTPServerResponse& aResponse,
                      const std::string& aBody)
{
  const WriteFate fate = mWriteFate;
  if (fate == WriteFate::Late) {
    std::this_thread::sleep_for(kLateness);
  }
  const WriteResult written = ApplyWrite(mStore,
                                         aRequest.getMethod(),
                                         ParseCall(aRequest.getURI()),
                                         ParseText(aBody));
  if (fate != WriteFate::Answered) {
    standin::CutConnection(aRequest);
    return;
  }
  ReplyInEra(aResponse,
             written.mEra,
             StatusOf(written.mStatus),
             ToJson(written.mObject));
}

void
StorePort::Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse)
{
  const std::string body = standin::ReadBody(aRequest);
  if (TurnsAway(aRequest, aResponse)) {
    return;
  }
  if (aRequest.getMethod() == "GET") {
    ServeRead(
      mStore, mTimeline, ParseCall(aRequest.getURI()), mStaleLag, aResponse);
  } else {
    ServeWrite(aRequest, aResponse, body);
  }
}

} // namespace hibiscushold::emulator
