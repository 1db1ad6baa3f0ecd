#pragma once

#include "fleet/targetchoice.h"
#include "fleet/zonesout.h"

#include <span>
#include <string>
#include <string_view>

namespace hibiscushold {

/// How far the rate of a cold target may be exceeded in any second.
struct ColdTolerance
{
  double mFactor = 1;
  double mExtraRequests = 0;
};

/// Each cold target gets requests from few nodes. As nodes can't count each
/// other's requests in time, each of them has a share of the target's rate.
struct ColdShare
{
  size_t mSenders = 0;   ///< nodes that may send to the target
  double mPerSecond = 0; ///< requests of each of these
};

/// The shares leave room for twice as many senders, as nodes may know different
/// rosters for some time.
/// @param aPerSecond requests that the target tolerates while it is cold
/// @return shares such that the target gets no more in any second than it
///         tolerates; no senders if it tolerates too few
ColdShare
ShareColdRate(double aPerSecond, const ColdTolerance& aTolerance);

/// Ranks nodes by rendezvous hashing, so that all nodes with the same roster
/// agree on the senders of each target.
/// @param aOthers ids of the other nodes
/// @return whether this node is one of the target's senders
bool
IsColdSender(std::string_view aSelf,
             std::span<const std::string> aOthers,
             std::string_view aVmId,
             size_t aSenders);

/// What a node knows for its choice of cold targets.
struct ColdView
{
  std::string_view mSelf;
  std::span<const std::string> mOthers; ///< ids of the other nodes
  bool mIsRosterKnown = false;          ///< mOthers was read from the store
  /// When this node's roster has settled; it sends to no cold target before.
  TimePoint mSendsFrom;
  ColdTolerance mTolerance;
};

/// Sets until when targets are cold, and how often this node may send to each.
/// A target of a zone that has just come back into service counts as cold until
/// its entry would show it.
void
MarkColdTargets(FleetTargets& aTargets,
                const FleetConfig& aConfig,
                const ZonesOut& aZones,
                const ColdView& aView);

/// Like ChooseTarget, and takes a turn at a cold target that was chosen.
const FleetTarget*
ChooseWithTurn(std::span<const FleetTarget> aTargets,
               TargetLoads& aLoads,
               const ChoiceInput& aInput,
               const std::set<std::string>& aTried);

} // namespace hibiscushold
