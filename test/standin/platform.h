#pragma once

#include "core/clock.h"
#include "standin/server.h"

#include <json/value.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace hibiscushold::standin {

/// Stand-in for the platform: object store, watches and VM list.
///
/// Faults: outage (closes the connection of every call of a node), slow (ms
/// before each response), lost_answer (number of writes that are executed
/// without a response), refuse_key (writes to keys with this prefix are not
/// executed and get no response), list_lag (ms by which the VM list is stale).
class PlatformStandin
{
public:
  explicit PlatformStandin(uint16_t aPort);

  Endpoint Address() const { return mServer.Address(); }
  FaultSwitches& Faults() { return mFaults; }

private:
  struct Entry
  {
    uint64_t mVersion = 0;
    uint64_t mRevision = 0;
    std::string mValue;
  };

  /// The VM list at some time; with list_lag, an earlier one is returned.
  struct Snapshot
  {
    TimePoint mTakenAt;
    uint64_t mRevision = 0; ///< increases when the list changes
    Json::Value mVms;
  };

  struct ListedVm
  {
    Json::Value mJson;
    TimePoint mAnnouncedAt;
  };

  void Handle(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleObject(HTTPServerRequest& aRequest,
                    HTTPServerResponse& aResponse,
                    const std::string& aKey);
  void HandleList(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleWatch(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleVms(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse);
  void HandleStats(HTTPServerResponse& aResponse);
  int Write(HTTPServerRequest& aRequest,
            const std::string& aKey,
            const std::string& aBody,
            uint64_t& aVersion);
  Json::Value Changes(const std::string& aPrefix, uint64_t aSince) const;
  void TakeSnapshot();

  FaultSwitches mFaults;
  SystemClock mClock;
  mutable std::mutex mLock;
  std::condition_variable mChanged;
  uint64_t mRevision = 0;
  std::map<std::string, Entry> mObjects;
  std::map<std::string, uint64_t> mDeletionRevisions;
  std::map<std::string, uint64_t> mCalls;
  std::map<std::string, ListedVm> mVms;
  std::map<std::string, std::string> mVmStates;
  std::deque<Snapshot> mSnapshots;
  uint64_t mListRevision = 0;
  Server mServer;
};

} // namespace hibiscushold::standin
