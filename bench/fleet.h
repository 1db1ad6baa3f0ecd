#pragma once

#include "cluster/peerclient.h"
#include "core/http.h"
#include "core/tokenset.h"
#include "serve/node.h"
#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

#include <json/value.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold::bench {

/// Size of a fleet and speed of its engines.
struct FleetOptions
{
  size_t mNodes = 3;
  uint32_t mCopies = 2;
  uint32_t mVmsPerCopy = 2;
  uint32_t mSpares = 1;
  uint32_t mSlots = 64;
  milliseconds mTimePerToken{ 0 };
  milliseconds mTimeout{ 5000 }; ///< of a request
};

/// Keys of the two accounts: "desk" is urgent, "mill" is bulk.
inline constexpr const char* kDeskKey = "desk-key";
inline constexpr const char* kMillKey = "mill-key";

/// Stand-ins and nodes on loopback, all inside this process.
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);
  /// Stops the nodes gracefully; callers must have closed their connections.
  ~Fleet();

  /// Starts everything and waits until all copies serve.
  /// @return TimedOut if they don't, or the failure of a component
  Result<void> Start();

  size_t VmCount() const { return mEngines.size(); }
  Endpoint CallerAddress(size_t aNode) const;
  standin::EngineStandin& Engine(size_t aIndex) { return *mEngines[aIndex]; }
  standin::ServiceStandin& Service() { return *mService; }
  standin::PlatformStandin& Platform() { return *mPlatform; }

  /// @return rows of the operators' method "groups", as node aNode reports them
  Json::Value Groups(size_t aNode);
  /// @return address of the head VM of a serving copy
  Result<Endpoint> AddressOfServingHeadVm();

  /// Replaces an engine by a new one with the same VM id, as a restart of the
  /// VM would.
  void RestartEngine(size_t aIndex);
  /// Stops a node gracefully and starts it again.
  void RestartNode(size_t aIndex);

  /// @return number of runs of each request id on all engines, including those
  ///         before restarts; call it once, at the end
  std::map<std::string, uint64_t> EngineRuns();

private:
  Result<Json::Value> CallOperatorMethod(size_t aNode,
                                         const std::string& aMethod,
                                         const Json::Value& aParams);
  Settings SettingsOf(size_t aNode) const;
  Result<void> Apply();
  Result<void> StartNode(size_t aIndex);
  bool IsServing();
  void StartEngine(size_t aIndex);
  void CollectRuns(const standin::EngineStandin& aEngine);

  const FleetOptions mOptions;
  const SystemClock mClock;
  HttpClient mClient;
  const TokenSet mTokens;
  PeerClient mOperator;
  std::vector<uint16_t> mPorts;
  std::map<std::string, uint64_t> mRuns;
  std::unique_ptr<standin::PlatformStandin> mPlatform;
  std::vector<std::unique_ptr<standin::EngineStandin>> mEngines;
  std::unique_ptr<standin::ServiceStandin> mService;
  std::vector<std::unique_ptr<Node>> mNodes;
};

} // namespace hibiscushold::bench
