#pragma once

#include "core/tokenset.h"
#include "fleet/reach.h"
#include "fleet/targetloads.h"
#include "relay/roster.h"

#include <atomic>
#include <optional>
#include <set>
#include <span>

namespace hibiscushold {

/// Headers between nodes. They are forwarded to no target and no caller.
inline constexpr const char* kPeerField = "X-Hibiscushold-Peer";
/// Request: version of the configuration by which the sender has accepted it.
inline constexpr const char* kPeerVersionField = "X-Hibiscushold-Version";
/// Response: the request did not run, and another node may serve it.
inline constexpr const char* kElsewhereField = "X-Hibiscushold-Elsewhere";
/// Response: the target that it comes from, as id and start of its VM.
inline constexpr const char* kTargetField = "X-Hibiscushold-Target";

/// @return whether nodes send the header to each other in responses
bool
IsPeerField(std::string_view aName);

/// Another node and until when it is not used.
struct Peer
{
  RosterEntry mEntry;
  TimePoint mAvoidUntil;
};

/// Chooses at random among the nodes that accept requests of other nodes.
/// @param aTried ids of nodes that are not to be chosen
/// @param aFraction random, at least 0 and less than 1
/// @return the node, or null when none is available
const Peer*
ChoosePeer(std::span<const Peer> aPeers,
           const std::set<std::string>& aTried,
           TimePoint aNow,
           double aFraction);

/// The other nodes, as those that requests are passed on to and taken from.
/// Thread-safe.
class Peers
{
public:
  /// @param aTokens with which other nodes authenticate at this one
  /// @param aMaxServed requests of other nodes that are served at a time
  Peers(const TokenSet& aTokens, uint32_t aMaxServed, TimePoint aNow);

  /// Replaces the entries of the nodes. How long each is avoided is kept.
  void Set(std::vector<RosterEntry> aEntries);

  /// See ChoosePeer.
  std::optional<RosterEntry> Choose(const std::set<std::string>& aTried,
                                    TimePoint aNow,
                                    double aFraction) const;

  void AvoidUntil(const std::string& aNodeId, TimePoint aUntil);

  /// @param aField value of the header kPeerField
  /// @return whether it is from a node that knows this one's token
  bool Accepts(std::string_view aField) const;

  /// Takes one of the places for requests of other nodes.
  /// @return whether there was one, which is to be left with EndServing
  bool TryBeginServing();
  void EndServing();

  /// What exchanges with other nodes record, apart from that of targets.
  TargetLoads& Loads() { return mLoads; }
  TargetReach& Reach() { return mReach; }

private:
  const TokenSet& mTokens;
  const uint32_t mMaxServed;
  std::atomic<uint32_t> mServed{ 0 };
  TargetLoads mLoads;
  TargetReach mReach;
  mutable std::mutex mLock; ///< guards mPeers
  std::vector<Peer> mPeers;
};

} // namespace hibiscushold
