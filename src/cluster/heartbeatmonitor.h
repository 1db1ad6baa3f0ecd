#pragma once

#include "cluster/peerclient.h"
#include "cluster/view.h"
#include "core/clock.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscushold {

/// Tracks by heartbeats which registered members are reachable. Thread-safe.
class HeartbeatMonitor
{
public:
  /// Called with the id and the status of a member that answered a heartbeat,
  /// and when the heartbeat was sent.
  using StatusListener =
    std::function<void(const std::string&, const Json::Value&, TimePoint)>;

  HeartbeatMonitor(std::string aSelf,
                   const ViewWatcher& aViews,
                   PeerClient& aPeers,
                   const Clock& aClock,
                   StatusListener aListener);

  /// Sends one heartbeat to each other member, to several in parallel, and
  /// waits for the answers. The listener is called on several threads.
  void SendHeartbeats();

  /// @return the ids of the registered members that answered recently, and of
  ///         this node
  std::vector<std::string> Alive() const;

  /// @param aIncarnation this process's own
  /// @param aMaxAge how long a member counts as reachable, from when the
  ///        heartbeat that it answered was sent
  /// @return number of reachable registered members; this node counts when
  ///         its own incarnation is registered, another one when the
  ///         incarnation in its answer is
  size_t CountReachable(const std::string& aIncarnation,
                        Duration aMaxAge) const;

private:
  void SendHeartbeat(const Member& aMember);

  struct LastAnswer
  {
    std::string mIncarnation;
    TimePoint mSentAt; ///< when the heartbeat was sent
  };

  const std::string mSelf;
  const ViewWatcher& mViews;
  PeerClient& mPeers;
  const Clock& mClock;
  const StatusListener mListener;
  mutable std::mutex mLock;
  std::map<std::string, LastAnswer> mLastAnswers;
};

/// Assigns a key to a member by rendezvous hashing.
/// @return the member, or an empty string when aAlive is empty
std::string
PreferredMember(const std::vector<std::string>& aAlive, std::string_view aKey);

} // namespace hibiscushold
