#include "standin/platform.h"

#include "core/json.h"

#include <thread>

namespace hibiscushold::standin {

namespace {

/// VMs that stop announcing themselves leave the list after this.
constexpr auto kVmTimeout = milliseconds(1000);
constexpr std::string_view kObjectPath = "/objects/";

Json::Value
ObjectJson(const std::string& aKey,
           uint64_t aVersion,
           const std::string& aValue)
{
  Json::Value json;
  json["key"] = aKey;
  json["version"] = Json::UInt64(aVersion);
  json["value"] = aValue;
  return json;
}

} // namespace

PlatformStandin::PlatformStandin(uint16_t aPort)
  : mServer(aPort, [this](auto& aRequest, auto& aResponse) {
    Handle(aRequest, aResponse);
  })
{
}

void
PlatformStandin::Handle(HTTPServerRequest& aRequest,
                        HTTPServerResponse& aResponse)
{
  if (mFaults.Handle(aRequest, aResponse)) {
    return;
  }
  const std::string path = PathOf(aRequest);
  if (path == "/stats") {
    HandleStats(aResponse);
    return;
  }
  const bool isNodeCall = path != "/vms" || aRequest.getMethod() == "GET";
  if (isNodeCall && mFaults.Has("outage")) {
    CutConnection(aRequest);
    return;
  }
  if (isNodeCall && mFaults.Has("slow")) {
    std::this_thread::sleep_for(milliseconds(mFaults.Number("slow")));
  }
  if (path.starts_with(kObjectPath)) {
    HandleObject(aRequest, aResponse, path.substr(kObjectPath.size()));
  } else if (path == "/objects") {
    HandleList(aRequest, aResponse);
  } else if (path == "/watch") {
    HandleWatch(aRequest, aResponse);
  } else {
    HandleVms(aRequest, aResponse);
  }
}

void
PlatformStandin::HandleObject(HTTPServerRequest& aRequest,
                              HTTPServerResponse& aResponse,
                              const std::string& aKey)
{
  const std::string body = ReadBody(aRequest);
  const bool isWrite = aRequest.getMethod() != "GET";
  const std::string refusedPrefix = mFaults.Value("refuse_key");
  if (isWrite && !refusedPrefix.empty() && aKey.starts_with(refusedPrefix)) {
    CutConnection(aRequest);
    return;
  }
  uint64_t version = 0;
  std::string reply = "{}";
  int status = 200;
  {
    const std::lock_guard guard(mLock);
    ++mCalls[aRequest.getMethod()];
    if (isWrite) {
      status = Write(aRequest, aKey, body, version);
      reply = "{\"version\":" + std::to_string(version) + "}";
    } else {
      const auto it = mObjects.find(aKey);
      status = it == mObjects.end() ? 404 : 200;
      if (status == 200) {
        reply =
          ToJson(ObjectJson(aKey, it->second.mVersion, it->second.mValue));
      }
    }
  }
  mChanged.notify_all();
  if (isWrite && status == 200 && mFaults.ConsumeOne("lost_answer")) {
    CutConnection(aRequest);
    return;
  }
  SendReply(aResponse, status, reply);
}

int
PlatformStandin::Write(HTTPServerRequest& aRequest,
                       const std::string& aKey,
                       const std::string& aBody,
                       uint64_t& aVersion)
{
  const auto it = mObjects.find(aKey);
  const uint64_t current = it == mObjects.end() ? 0 : it->second.mVersion;
  const bool isCreate = aRequest.get("If-None-Match", "") == "*";
  const std::string match = aRequest.get("If-Match", "");
  if (isCreate ? current != 0 : std::to_string(current) != match) {
    return current == 0 && !isCreate ? 404 : 412;
  }
  ++mRevision;
  if (aRequest.getMethod() == "DELETE") {
    mObjects.erase(aKey);
    mDeletionRevisions[aKey] = mRevision;
    return 200;
  }
  mDeletionRevisions.erase(aKey);
  aVersion = mRevision;
  mObjects[aKey] = { aVersion, mRevision, aBody };
  return 200;
}

Json::Value
PlatformStandin::Changes(const std::string& aPrefix, uint64_t aSince) const
{
  Json::Value json;
  json["revision"] = Json::UInt64(mRevision);
  json["objects"] = Json::Value(Json::arrayValue);
  json["deleted"] = Json::Value(Json::arrayValue);
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (it->second.mRevision > aSince) {
      json["objects"].append(
        ObjectJson(it->first, it->second.mVersion, it->second.mValue));
    }
  }
  for (const auto& [key, revision] : mDeletionRevisions) {
    if (revision > aSince && key.starts_with(aPrefix)) {
      json["deleted"].append(key);
    }
  }
  return json;
}

void
PlatformStandin::HandleList(HTTPServerRequest& aRequest,
                            HTTPServerResponse& aResponse)
{
  const std::string prefix = QueryValue(aRequest, "prefix");
  std::string reply;
  {
    const std::lock_guard guard(mLock);
    ++mCalls["LIST"];
    reply = ToJson(Changes(prefix, 0));
  }
  SendReply(aResponse, 200, reply);
}

void
PlatformStandin::HandleWatch(HTTPServerRequest& aRequest,
                             HTTPServerResponse& aResponse)
{
  const std::string prefix = QueryValue(aRequest, "prefix");
  const uint64_t since = std::stoull(QueryValue(aRequest, "since"));
  const milliseconds wait(std::stoll(QueryValue(aRequest, "wait_ms")));
  const TimePoint deadline = mClock.Now() + wait;
  std::unique_lock guard(mLock);
  ++mCalls["WATCH"];
  Json::Value changes = Changes(prefix, since);
  while (changes["objects"].empty() && changes["deleted"].empty() &&
         mChanged.wait_until(guard, deadline) == std::cv_status::no_timeout) {
    changes = Changes(prefix, since);
  }
  guard.unlock();
  if (mFaults.Has("outage")) {
    CutConnection(aRequest);
    return;
  }
  SendReply(aResponse, 200, ToJson(changes));
}

void
PlatformStandin::HandleVms(HTTPServerRequest& aRequest,
                           HTTPServerResponse& aResponse)
{
  const std::string body = ReadBody(aRequest);
  if (aRequest.getMethod() == "GET") {
    const milliseconds lag(mFaults.Number("list_lag"));
    const std::lock_guard guard(mLock);
    ++mCalls["VMS"];
    TakeSnapshot();
    Json::Value reply;
    reply["vms"] = Json::Value(Json::arrayValue);
    for (const Snapshot& it : mSnapshots) {
      if (it.mTakenAt <= mClock.Now() - lag) {
        reply["vms"] = it.mVms;
        reply["revision"] = Json::UInt64(it.mRevision);
      }
    }
    if (QueryValue(aRequest, "since") == reply["revision"].asString()) {
      reply["unchanged"] = true;
      reply["vms"].clear();
    }
    SendReply(aResponse, 200, ToJson(reply));
    return;
  }
  Result<Json::Value> json = ParseJsonObject(body);
  const std::lock_guard guard(mLock);
  const std::string id = TextAt(json.value(), "id");
  if (aRequest.getMethod() == "PUT") {
    mVmStates[id] = TextAt(json.value(), "state");
  } else {
    mVms[id] = { json.value(), mClock.Now() };
    TakeSnapshot();
  }
  SendReply(aResponse, 200, "{}");
}

void
PlatformStandin::TakeSnapshot()
{
  const TimePoint now = mClock.Now();
  Json::Value list(Json::arrayValue);
  for (const auto& [id, vm] : mVms) {
    if (vm.mAnnouncedAt + kVmTimeout < now) {
      continue;
    }
    Json::Value json = vm.mJson;
    const auto it = mVmStates.find(id);
    json["state"] = it == mVmStates.end() ? "live" : it->second;
    list.append(json);
  }
  const bool same = !mSnapshots.empty() && mSnapshots.back().mVms == list;
  if (!same) {
    ++mListRevision;
  }
  mSnapshots.push_back({ now, mListRevision, list });
  while (mSnapshots.size() > 1 && mSnapshots[1].mTakenAt < now - seconds(30)) {
    mSnapshots.pop_front();
  }
}

void
PlatformStandin::HandleStats(HTTPServerResponse& aResponse)
{
  Json::Value json;
  {
    const std::lock_guard guard(mLock);
    for (const auto& [kind, n] : mCalls) {
      json[kind] = Json::UInt64(n);
    }
    json["revision"] = Json::UInt64(mRevision);
  }
  SendReply(aResponse, 200, ToJson(json));
}

} // namespace hibiscushold::standin
