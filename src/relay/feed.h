#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hibiscushold {

/// A deleted object, and a revision of the store at which it was missing.
struct Deletion
{
  std::string mKey;
  uint64_t mRevision = 0;
};

/// The objects under one prefix as of a revision of the store, with the most
/// recent deletions.
struct Feed
{
  uint64_t mRevision = 0;    ///< 0 before the first listing
  uint64_t mHistoryFrom = 0; ///< all changes after this revision are known
  std::map<std::string, Object> mObjects;
  std::deque<Deletion> mDeletions; ///< in order of their revisions
  TimePoint mConfirmedAt;          ///< the store had nothing newer at this time
  /// Set after a failed read: the feed is unavailable to followers from then.
  std::optional<TimePoint> mUnavailableFrom;
};

/// Replaces the objects by those of a full listing; objects missing from it
/// count as deleted. A listing older than the feed is ignored.
/// @param aConfirmedAt time at which the store had nothing newer
void
ApplySnapshot(Feed& aFeed, const Listing& aListing, TimePoint aConfirmedAt);

/// Applies the changes since the feed's revision.
/// @param aConfirmedAt time at which the store had nothing newer
void
ApplyChanges(Feed& aFeed, const Listing& aChanges, TimePoint aConfirmedAt);

/// @return the changes after revision aSince, or nothing if the feed's history
///         starts later
std::optional<Listing>
ChangesSince(const Feed& aFeed, uint64_t aSince);

/// @return all objects of the feed with its revision
Listing
SnapshotOf(const Feed& aFeed);

} // namespace hibiscushold
