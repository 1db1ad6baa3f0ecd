#pragma once
// A small deployment: store, operator, workers, nodes.

#include "rig.hpp"

#include <set>

namespace review {

/// What a worker does with a request that it runs.
struct Run
{
  std::string mMethod;
  std::string mUri;
  std::string mId;
  Head mHead;
  std::string mBody;
};

class Worker;
/// Answers a request; may break off the channel.
using Answer = std::function<void(Worker&, const Run&, Channel&)>;

/// A worker of one service: one request at a time on a channel, in order.
class Worker
{
public:
  Worker(std::string aId,
         std::string aService,
         std::string aZone,
         Store& aStore,
         Record& aRecord,
         Answer aAnswer);

  /// Writes its entry; called at the start and for each change.
  void Report();
  void RemoveEntry();
  /// The process ends: all channels are reset, new ones are closed unread.
  void Crash();
  /// Another process starts under the same id; it writes no entry yet.
  void Restart();
  const std::string& Id() const { return mId; }
  std::string Address() const;
  std::string Stamp() const { return "stamp." + mId; }

  std::string mState = "ready";
  std::atomic<bool> mIsDown{ false }; ///< closes channels unread
  std::atomic<uint64_t> mLife{ 1 };   ///< number of the process
  uint64_t mBorn;
  uint64_t mSequence = 1;
  /// How long it stays cold, for its health answers.
  std::function<int64_t()> mColdMillis = [] { return int64_t(0); };
  /// Answers what comes under /v1/, if it is set.
  /// @param aLastAnswer the bytes of the answer before on this channel
  std::function<
    std::string(const Run& aRun, Channel&, const std::string& aLastAnswer)>
    mControl;
  Json::Value mExtra{ Json::objectValue }; ///< further fields of the entry

private:
  void Serve(Channel& aChannel);
  void ServeRequests(Channel& aChannel, uint64_t aLife);

  std::mutex mLock;
  std::set<int> mSockets;
  const std::string mId;
  const std::string mService;
  const std::string mZone;
  Store& mStore;
  Record& mRecord;
  const Answer mAnswer;
  Listener mListener;
};

/// @return a whole answer with a length
std::string
WholeAnswer(const Worker& aWorker,
            const Run& aRun,
            int aStatus,
            const std::string& aBody);

inline constexpr const char* kSite = "review.example";

Json::Value
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aService,
          const std::string& aKind,
          int aTimeoutMillis,
          int aSloMillis,
          int aAttempts);

/// @param aKeys key and tenant
Json::Value
MakeConfig(uint64_t aVersion,
           const std::vector<Json::Value>& aRoutes,
           const std::vector<std::string>& aServices,
           const std::vector<std::pair<std::string, std::string>>& aKeys);

/// Store, node processes and their ports to the store.
class World
{
public:
  World(Record& aRecord, size_t aNodes, size_t aZones);

  void StartNodes();
  /// Starts a node that isn't there from the start.
  void AddNode(const std::string& aName, const std::string& aZone);
  void PutConfig(const Json::Value& aConfig);

  Record& mRecord;
  const std::string mFolder; ///< temporary; removed at the end
  Store mStore;
  std::vector<std::unique_ptr<StorePort>> mPorts; ///< one for each node
  std::vector<std::unique_ptr<Node>> mNodes;
  void Stop(); ///< ends the nodes and removes the folder
};

/// Runs a case and ends the program, whose threads may still wait; what the
/// case has made is left to them.
/// @param aPlay gets the world and returns the exit code
[[noreturn]] void
RunCase(const std::string& aRecordPath,
        size_t aNodes,
        size_t aZones,
        const std::function<int(World&, Record&)>& aPlay);

/// What a client got.
struct Got
{
  bool mIsWhole = false; ///< a whole answer
  int mStatus = 0;       ///< 0 for none
  Head mHead;
  std::string mBody;
};

/// Reads one answer.
Got
ReadAnswer(Channel& aChannel, int aMillis);

/// @return the request's bytes
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aUri,
            const std::string& aId,
            int aDeadlineMillis,
            const std::string& aKey,
            const Fields& aFields,
            const std::string& aBody);

} // namespace review
