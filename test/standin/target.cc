#include "standin/target.h"

#include "core/ids.h"
#include "core/json.h"
#include "observe/taskfailure.h"

#include <thread>

namespace hibiscushold::standin {

namespace {

constexpr auto kAnnounceInterval = milliseconds(250);
constexpr auto kFaultPollInterval = milliseconds(20);

std::string
MakeListEntry(const VmOptions& aOptions,
              const Endpoint& aAddress,
              const std::string& aIncarnation)
{
  Json::Value json;
  json["id"] = aOptions.mId;
  json["incarnation"] = aIncarnation;
  json["address"] = ToString(aAddress);
  json["zone"] = aOptions.mZone;
  json["domain"] = aOptions.mDomain;
  json["pool"] = aOptions.mPool;
  return ToJson(json);
}

} // namespace

Target::Target(const VmOptions& aOptions, Server::Handler aHandler)
  : mIncarnation(NewId())
  , mHandler(std::move(aHandler))
  , mClient(mClock)
  , mPlatform(aOptions.mPlatform)
  , mServer(
      aOptions.mPort,
      [this](auto& aRequest, auto& aResponse) { Handle(aRequest, aResponse); })
  , mListEntry(MakeListEntry(aOptions, mServer.Address(), mIncarnation))
  , mAnnounceLoop(
      kAnnounceInterval,
      [this] { Announce(); },
      LogFailuresOf("announce", mMetrics))
{
}

void
Target::WaitWhileFrozen() const
{
  while (mFaults.Has("freeze")) {
    std::this_thread::sleep_for(kFaultPollInterval);
  }
}

void
Target::CountRun(const std::string& aRequest)
{
  const std::lock_guard guard(mLock);
  ++mRuns[aRequest];
}

uint32_t
Target::RunsOf(const std::string& aRequest) const
{
  const std::lock_guard guard(mLock);
  const auto it = mRuns.find(aRequest);
  return it == mRuns.end() ? 0 : it->second;
}

void
Target::Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse)
{
  if (mFaults.Handle(aRequest, aResponse)) {
    return;
  }
  WaitWhileFrozen();
  if (PathOf(aRequest) == "/runs") {
    SendRuns(aResponse);
    return;
  }
  WaitWhileSilent(aRequest);
  mHandler(aRequest, aResponse);
}

void
Target::WaitWhileSilent(const HTTPServerRequest& aRequest)
{
  const std::string connection = aRequest.clientAddress().toString();
  {
    const std::lock_guard guard(mLock);
    if (!mFaults.Has("silent")) {
      mConnections.insert(connection);
      return;
    }
    if (!mConnections.contains(connection)) {
      return;
    }
  }
  while (mFaults.Has("silent")) {
    std::this_thread::sleep_for(kFaultPollInterval);
  }
}

void
Target::SendRuns(HTTPServerResponse& aResponse) const
{
  Json::Value json(Json::objectValue);
  {
    const std::lock_guard guard(mLock);
    for (const auto& [request, n] : mRuns) {
      json[request] = n;
    }
  }
  SendReply(aResponse, 200, ToJson(json));
}

void
Target::Announce()
{
  const HttpRequest request{ "POST", "/vms", {}, mListEntry };
  (void)mClient.Call(mPlatform, request, mClock.Now() + kAnnounceInterval);
}

} // namespace hibiscushold::standin
