#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "store/platform.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Prefix of the objects by which nodes find each other.
inline constexpr std::string_view kRosterPrefix = "peers/";

/// A node as it describes itself to the others.
struct RosterEntry
{
  std::string mId;
  std::string mZone;
  Endpoint mAddress;    ///< of its port for peers
  std::string mToken;   ///< others show it to this node; new with each start
  double mCapacity = 0; ///< its part of a core
};

/// A node as the store shows it.
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

/// The first of all nodes asks the store, the largest node going first. The
/// first of each other zone asks that one, and the rest ask theirs. Nodes ask
/// only those before them in one common order, so nobody asks in a circle.
/// @return the nodes that aSelf may ask instead of the store, best first
std::vector<RosterEntry>
UpstreamsOf(const Roster& aRoster, const RosterEntry& aSelf);

} // namespace hibiscushold
