#include "bench/fleet.h"

#include "core/ids.h"
#include "core/json.h"
#include "serve/credentials.h"
#include "serve/peerport.h"

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <sstream>
#include <thread>

namespace hibiscushold::bench {

namespace {

constexpr auto kCallTimeout = milliseconds(15000);
constexpr auto kStartTimeout = seconds(30);
constexpr auto kPollInterval = milliseconds(100);
constexpr const char* kOperatorToken = "bench-operators-token";

std::vector<uint16_t>
FreePorts(size_t aCount)
{
  std::vector<Poco::Net::ServerSocket> sockets;
  std::vector<uint16_t> ports;
  for (size_t i = 0; i < aCount; ++i) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
    ports.push_back(sockets.back().address().port());
  }
  return ports;
}

std::string
RulesText(const FleetOptions& aOptions)
{
  std::ostringstream out;
  out << "[accounts]\n"
      << "desk = key_sha256:" << Sha256Hex(kDeskKey) << " share:1 # bench\n"
      << "mill = key_sha256:" << Sha256Hex(kMillKey) << " share:1 # bench\n"
      << "[groups]\n"
      << "drafting = model:bench-model copies:" << aOptions.mCopies
      << " vms:" << aOptions.mVmsPerCopy << " spares:" << aOptions.mSpares
      << " # bench\n"
      << "[services]\n"
      << "ledger = targets:ledger-pool # bench\n"
      << "[routes]\n"
      << "urgent = path:/v1/chat/completions model:bench-model account:desk "
         "to:drafting policy:urgent # bench\n"
      << "bulk = path:/v1/chat/completions model:bench-model account:mill "
         "to:drafting policy:bulk # bench\n"
      << "confirm = path:/services/ledger/confirm account:* to:ledger "
         "policy:confirm # bench\n"
      << "[policies]\n";
  const std::string timeout = std::to_string(aOptions.mTimeout.count()) + "ms";
  out << "urgent = priority:urgent idempotent:yes retries:2 timeout:" << timeout
      << " # bench\n"
      << "bulk = priority:bulk idempotent:yes retries:2 timeout:" << timeout
      << " # bench\n"
      << "confirm = priority:urgent idempotent:no timeout:" << timeout
      << " # bench\n";
  return out.str();
}

} // namespace

Fleet::Fleet(const FleetOptions& aOptions)
  : mOptions(aOptions)
  , mClient(mClock)
  , mTokens(kOperatorToken)
  , mOperator(mClient, mTokens, kOperatorPath)
  , mPorts(FreePorts(2 * aOptions.mNodes))
  , mPlatform(std::make_unique<standin::PlatformStandin>(uint16_t{ 0 }))
{
}

Fleet::~Fleet()
{
  std::vector<std::jthread> threads;
  for (const auto& it : mNodes) {
    if (it) {
      threads.emplace_back([&it] { it->Stop(); });
    }
  }
}

Result<void>
Fleet::Start()
{
  mEngines.resize(mOptions.mCopies * mOptions.mVmsPerCopy + mOptions.mSpares);
  for (size_t i = 0; i < mEngines.size(); ++i) {
    StartEngine(i);
  }
  standin::VmOptions service;
  service.mId = "ledger-1";
  service.mPool = "ledger-pool";
  service.mPlatform = mPlatform->Address();
  mService = std::make_unique<standin::ServiceStandin>(service);
  mNodes.resize(mOptions.mNodes);
  for (size_t i = 0; i < mNodes.size(); ++i) {
    BOOST_OUTCOME_TRY(StartNode(i));
  }
  const TimePoint deadline = mClock.Now() + kStartTimeout;
  BOOST_OUTCOME_TRY(Apply());
  while (!IsServing()) {
    if (mClock.Now() >= deadline) {
      return Failure{ Error::TimedOut, "the copies do not serve", "" };
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return boost::outcome_v2::success();
}

Result<void>
Fleet::Apply()
{
  Json::Value params;
  params["text"] = RulesText(mOptions);
  const TimePoint deadline = mClock.Now() + kStartTimeout;
  const auto knowsAllMembers = [this](size_t aNode) {
    Result<Json::Value> reply =
      CallOperatorMethod(aNode, "members", Json::Value(Json::objectValue));
    return reply && ArrayAt(reply.value(), "members").size() == mNodes.size();
  };
  for (size_t i = 0; i < mNodes.size(); ++i) {
    while (!knowsAllMembers(i) && mClock.Now() < deadline) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  BOOST_OUTCOME_TRY(CallOperatorMethod(0, "apply", params));
  return boost::outcome_v2::success();
}

bool
Fleet::IsServing()
{
  for (size_t i = 0; i < mNodes.size(); ++i) {
    const Json::Value groups = Groups(i);
    const auto serving =
      std::count_if(groups.begin(), groups.end(), [](auto& aRow) {
        return FlagAt(aRow, "serving");
      });
    if (static_cast<uint32_t>(serving) < mOptions.mCopies) {
      return false;
    }
  }
  return true;
}

Endpoint
Fleet::CallerAddress(size_t aNode) const
{
  return { "127.0.0.1", mPorts[aNode] };
}

Result<Json::Value>
Fleet::CallOperatorMethod(size_t aNode,
                          const std::string& aMethod,
                          const Json::Value& aParams)
{
  const Endpoint to{ "127.0.0.1", mPorts[aNode + mOptions.mNodes] };
  return mOperator.Call(to, aMethod, aParams, mClock.Now() + kCallTimeout);
}

Json::Value
Fleet::Groups(size_t aNode)
{
  Result<Json::Value> reply =
    CallOperatorMethod(aNode, "groups", Json::Value(Json::objectValue));
  return reply ? ArrayAt(reply.value(), "groups") : Json::arrayValue;
}

Result<Endpoint>
Fleet::AddressOfServingHeadVm()
{
  for (const Json::Value& it : Groups(0)) {
    if (!FlagAt(it, "serving")) {
      continue;
    }
    const std::string id = it["vms"][0].asString();
    const size_t index = std::stoul(id.substr(id.find('-') + 1));
    return mEngines[index]->Address();
  }
  return Failure{ Error::TimedOut, "no copy serves", "" };
}

Settings
Fleet::SettingsOf(size_t aNode) const
{
  Settings settings;
  settings.mNodeId = "node-" + std::to_string(aNode);
  settings.mZone = "zone-" + std::to_string(aNode % 3);
  settings.mCallerListen = CallerAddress(aNode);
  settings.mPeerListen = { "127.0.0.1", mPorts[aNode + mOptions.mNodes] };
  settings.mPeerToken = "bench-peers-token";
  settings.mOperatorToken = kOperatorToken;
  settings.mPlatform = mPlatform->Address();
  settings.mStoreCallsPerSecond = 400;
  settings.mShutdownDelay = milliseconds(500);
  return settings;
}

Result<void>
Fleet::StartNode(size_t aIndex)
{
  const Settings settings = SettingsOf(aIndex);
  BOOST_OUTCOME_TRY(credentials, Credentials::Load(settings));
  mNodes[aIndex] = std::make_unique<Node>(settings, credentials);
  return mNodes[aIndex]->Start();
}

void
Fleet::RestartNode(size_t aIndex)
{
  mNodes[aIndex]->Stop();
  mNodes[aIndex].reset();
  (void)StartNode(aIndex);
}

void
Fleet::StartEngine(size_t aIndex)
{
  standin::VmOptions options;
  options.mId = "vm-" + std::to_string(aIndex);
  options.mZone = "zone-" + std::to_string(aIndex % 3);
  options.mDomain = "rack-1";
  options.mPlatform = mPlatform->Address();
  options.mTimePerToken = mOptions.mTimePerToken;
  options.mSlots = mOptions.mSlots;
  mEngines[aIndex] = std::make_unique<standin::EngineStandin>(options);
}

void
Fleet::RestartEngine(size_t aIndex)
{
  CollectRuns(*mEngines[aIndex]);
  mEngines[aIndex].reset();
  StartEngine(aIndex);
}

void
Fleet::CollectRuns(const standin::EngineStandin& aEngine)
{
  const HttpRequest request{ "GET", "/runs", {}, {} };
  Result<HttpReply> reply =
    mClient.Call(aEngine.Address(), request, mClock.Now() + kCallTimeout);
  if (!reply) {
    return;
  }
  Result<Json::Value> json = ParseJsonObject(reply.value().mBody);
  if (!json) {
    return;
  }
  for (const std::string& it : json.value().getMemberNames()) {
    mRuns[it] += NumberAt(json.value(), it.c_str());
  }
}

std::map<std::string, uint64_t>
Fleet::EngineRuns()
{
  for (const auto& it : mEngines) {
    CollectRuns(*it);
  }
  return std::move(mRuns);
}

} // namespace hibiscushold::bench
