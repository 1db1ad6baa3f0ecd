#pragma once

#include "relay/gonenodes.h"
#include "relay/relayedplatform.h"

#include <atomic>
#include <functional>
#include <vector>

namespace hibiscushold {

/// Receives the entries of the other nodes whenever they were read.
/// @param aAsOf when they were last known to be current
using PeersSink =
  std::function<void(std::vector<RosterEntry> aPeers, TimePoint aAsOf)>;

/// Keeps this node's roster entry in the store up to date, follows the entries
/// of the other nodes, sets the upstreams of the relay, and deletes the entries
/// of nodes that are gone (relay/gonenodes.h).
class Registrar
{
public:
  struct Dependencies
  {
    TokenSet& mTokens; ///< receives the token of a stored entry that is kept
    RelayedPlatform& mRelay;
    PeersSink mOnPeers;
    NodeCaller mCallNode;
    const Clock& mClock;
  };

  /// @param aSelf the entry to publish; its token is used only if the stored
  ///              entry is missing or differs
  Registrar(RosterEntry aSelf, Dependencies aDependencies);

  /// Lists the entries, or waits for a change to them, applies the result,
  /// creates or updates the own entry if needed, and calls some other nodes.
  void SyncRoster();

  /// Deletes the own entry, so that no other node uses this one as upstream. It
  /// is not created again.
  void Deregister();

  /// @return whether a first read of the entries has ended, even with an error
  bool HasTriedToRead() const { return mFirstReadDone; }

private:
  Result<Listing> Read();
  void ApplyListing(const Listing& aListing, bool aIsSnapshot);
  void SyncOwnEntry();
  /// Calls the nodes after this one in the ring until one answers.
  /// @return whether one has, or all have been called
  bool CallNext();
  void SyncGoneNodes();
  void WriteGone(const GoneNodeWrite& aWrite);
  void RecordWrite(const char* aAction, const Result<uint64_t>& aWritten);
  std::string SerializedEntry() const;
  std::vector<RosterEntry> OtherNodes() const;

  const RosterEntry mSelf;
  const Dependencies mDependencies;
  const std::string mKey;
  uint64_t mRevision = 0;    ///< 0 if the entries have to be listed
  bool mHistoryGone = false; ///< the last read ended the history
  Roster mRoster;
  GoneNodes mGone;
  TimePoint mNextCallAt{}; ///< of the next node in the ring
  std::atomic<uint64_t> mOwnVersion{ 0 };
  std::atomic<bool> mFirstReadDone{ false };
  std::atomic<bool> mDeregistered{ false };
};

} // namespace hibiscushold
