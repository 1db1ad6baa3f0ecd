#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>

namespace hibiscushold {

/// What a node that has upstreams knows of its own reads from the store: of one
/// prefix at a reader, of all prefixes together at any other node.
struct StoreReads
{
  std::optional<TimePoint> mNextAt; ///< no read before then
};

/// @param aRankInZone nodes of the zone that precede this one in the order of
///        upstreams
/// @return whether the node reads the store as soon as its upstream has failed.
///         The nodes after these look for another upstream first, as the store
///         would otherwise get a call from every node at the same moment.
bool
IsZoneReader(size_t aRankInZone);

/// Records a read from the store that has ended.
/// @param aFraction random, at least 0 and less than 1; spreads the next reads
///        of the nodes over time
void
RecordStoreRead(StoreReads& aReads,
                size_t aRankInZone,
                bool aSucceeded,
                TimePoint aNow,
                double aFraction);

/// @return whether the node may read the store now
bool
IsStoreReadDue(const StoreReads& aReads, TimePoint aNow);

} // namespace hibiscushold
