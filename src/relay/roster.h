#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Prefix of the store keys of roster entries, through which nodes discover
/// each other.
inline constexpr std::string_view kRosterPrefix = "peers/";

/// What a node publishes about itself for other nodes.
struct RosterEntry
{
  std::string mId;
  std::string mZone;
  Endpoint mAddress;    ///< where it accepts calls from other nodes
  std::string mToken;   ///< other nodes authenticate with it; new at each start
  double mCapacity = 0; ///< share of a CPU core
  /// Where it accepts callers' requests, also those that other nodes pass on;
  /// no host if it is of a version that takes none of these.
  Endpoint mCallers{};
  /// Another node doubts that this one runs (relay/gonenodes.h).
  bool mIsDoubted = false;
};

/// Asks another node whether it reaches its targets.
/// @return whether it says so; false also without an answer
using PeerReachReader = std::function<bool(const RosterEntry& aPeer)>;

/// Calls another node.
/// @return whether that node has answered, and not another at its address
using NodeCaller = std::function<bool(const RosterEntry& aNode)>;

/// A roster entry as read from the store.
struct RosterNode
{
  RosterEntry mEntry;
  uint64_t mVersion = 0;
};

using Roster = std::map<std::string, RosterNode>;

std::string
SerializeRosterEntry(const RosterEntry& aEntry);

/// @return the entry, or ReplyInvalid
Result<RosterEntry>
ParseRosterEntry(const Object& aObject);

/// Orders the nodes by capacity, largest first, then by id. The first node
/// reads the store, the first node of each other zone reads from that node, and
/// the rest read from the first node of their zone. As nodes read only from
/// nodes before them in this order, there are no cycles.
/// @return the nodes that aSelf may read from instead of the store, best first
std::vector<RosterEntry>
UpstreamsOf(const Roster& aRoster, const RosterEntry& aSelf);

/// The nodes that precede one in that order, best first.
struct PrecedingNodes
{
  std::vector<RosterEntry> mInZone;
  std::vector<RosterEntry> mInOtherZones;
};

PrecedingNodes
FindPreceding(const Roster& aRoster, const RosterEntry& aSelf);

/// @param aIsUsable whether a node may be read from now
/// @return the usable upstreams among the nodes, best first
std::vector<RosterEntry>
ChooseUpstreams(const PrecedingNodes& aNodes,
                const std::function<bool(const RosterEntry&)>& aIsUsable);

} // namespace hibiscushold
