#pragma once

#include "core/clock.h"
#include "relay/roster.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// Calls to a node that it did not answer.
struct NodeSilence
{
  TimePoint mSince; ///< when the first of them was sent
  uint32_t mCalls = 0;
};

/// An entry that states a doubt, which its node would remove.
struct StatedDoubt
{
  uint64_t mVersion = 0; ///< of the entry
  TimePoint mSeenAt;     ///< when this node first saw that version
};

/// What a node knows of other nodes that may be gone for good. Their entries
/// don't expire. Another node states its doubt in the entry; a node that runs
/// and reaches the store puts its own entry back, else the entry is deleted. A
/// node that is deleted although it runs creates its entry again.
struct GoneNodes
{
  std::map<std::string, NodeSilence> mSilences; ///< by node id
  std::map<std::string, StatedDoubt> mDoubts;   ///< by node id
  /// Nodes that have removed a doubt, with the time before which this node
  /// states none again.
  std::map<std::string, TimePoint> mTrustedUntil;
};

/// A write to the entry of a node that may be gone.
struct GoneNodeWrite
{
  std::string mNodeId;
  uint64_t mVersion = 0; ///< of the entry, a condition of the write
  bool mDeletes = false; ///< else the write states a doubt
};

/// Nodes call those after them in a ring, in the order of hashes of their ids,
/// so that a zone that is lost as a whole leaves others to notice it.
/// @return the other nodes, the next in the ring first
std::vector<RosterEntry>
RingAfter(const Roster& aRoster, const std::string& aSelf);

/// Records a call to a node.
/// @param aSentAt when it was sent
void
RecordCall(GoneNodes& aGone,
           const std::string& aNodeId,
           bool aAnswered,
           TimePoint aSentAt);

/// Compares what is known with the roster.
void
RecordRoster(GoneNodes& aGone, const Roster& aRoster, TimePoint aNow);

/// @return the entries to be written now
std::vector<GoneNodeWrite>
FindWrites(const GoneNodes& aGone, const Roster& aRoster, TimePoint aNow);

} // namespace hibiscushold
