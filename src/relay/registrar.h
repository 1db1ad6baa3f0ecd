#pragma once

#include "relay/relayedplatform.h"

#include <atomic>
#include <functional>
#include <vector>

namespace hibiscushold {

/// Receives the entries of the other nodes whenever they were read.
using PeersSink = std::function<void(std::vector<RosterEntry> aPeers)>;

/// Keeps this node's roster entry in the store up to date, follows the entries
/// of the other nodes, and sets the upstreams of the relay.
class Registrar
{
public:
  /// @param aSelf the entry to publish; its token is used only if the stored
  ///              entry is missing or differs
  /// @param aTokens receives the token of a stored entry that is kept
  Registrar(RosterEntry aSelf,
            TokenSet& aTokens,
            RelayedPlatform& aRelay,
            PeersSink aOnPeers);

  /// Lists the entries, or waits for a change to them, applies the result and
  /// creates or updates the own entry if needed.
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
  void RecordWrite(const char* aAction, const Result<uint64_t>& aWritten);
  std::string SerializedEntry() const;
  std::vector<RosterEntry> OtherNodes() const;

  const RosterEntry mSelf;
  TokenSet& mTokens;
  RelayedPlatform& mRelay;
  const PeersSink mOnPeers;
  const std::string mKey;
  uint64_t mRevision = 0;    ///< 0 if the entries have to be listed
  bool mHistoryGone = false; ///< the last read ended the history
  Roster mRoster;
  std::atomic<uint64_t> mOwnVersion{ 0 };
  std::atomic<bool> mFirstReadDone{ false };
  std::atomic<bool> mDeregistered{ false };
};

} // namespace hibiscushold
