#pragma once

#include "core/http.h"
#include "core/periodictask.h"
#include "observe/metrics.h"
#include "standin/server.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace hibiscushold::standin {

/// Address, list entry and speed of a stand-in VM.
struct VmOptions
{
  std::string mId;
  std::string mZone = "zone-a";
  std::string mDomain; ///< empty for a plain service
  std::string mPool = "workers";
  uint16_t mPort = 0;
  Endpoint mPlatform;
  milliseconds mLoadTime{ 100 }; ///< time to load a model
  milliseconds mTimePerToken{ 5 };
  uint32_t mSlots = 16; ///< requests that run at once
};

/// Common part of all stand-in targets: announces the VM to the platform,
/// counts runs by request (GET /runs returns them), and has these faults:
/// freeze (no response while set) and silent (no response while set on
/// connections that were used before).
class Target
{
public:
  Target(const VmOptions& aOptions, Server::Handler aHandler);

  Endpoint Address() const { return mServer.Address(); }
  FaultSwitches& Faults() { return mFaults; }
  const std::string& Incarnation() const { return mIncarnation; }

  /// Blocks while the fault freeze is set.
  void WaitWhileFrozen() const;

  /// Counts one run of a request.
  void CountRun(const std::string& aRequest);
  uint32_t RunsOf(const std::string& aRequest) const;

private:
  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void WaitWhileSilent(const HTTPServerRequest& aRequest);
  void SendRuns(HTTPServerResponse& aResponse) const;
  void Announce();

  const SystemClock mClock;
  const std::string mIncarnation;
  const Server::Handler mHandler;
  FaultSwitches mFaults;
  mutable std::mutex mLock;
  std::map<std::string, uint32_t> mRuns;
  /// Client addresses of the connections used while silent wasn't set.
  std::set<std::string> mConnections;
  HttpClient mClient;
  const Endpoint mPlatform;
  Server mServer;
  const std::string mListEntry;
  Metrics mMetrics;
  PeriodicTask mAnnounceLoop;
};

} // namespace hibiscushold::standin
