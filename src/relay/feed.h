#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hibiscushold {

/// An object that is gone, and the revision by which it was.
struct Deletion
{
  std::string mKey;
  uint64_t mRevision = 0;
};

/// The objects under one prefix as of a revision of the store, with the
/// deletions that were seen last.
struct Feed
{
  uint64_t mRevision = 0; ///< 0 while nothing is known
  uint64_t mFrom = 0;     ///< changes after this revision are known
  std::map<std::string, Object> mObjects;
  std::deque<Deletion> mDeletions; ///< in order of their revisions
  TimePoint mProvenAt; ///< the store had nothing newer when it was asked then
  /// The last question was not answered; it counts as lost from here on.
  std::optional<TimePoint> mLostFrom;
};

/// Takes in a whole listing; what it lacks is deleted. One that is older than
/// the feed changes nothing.
void
TakeWhole(Feed& aFeed, const Listing& aListing, TimePoint aProvenAt);

/// Takes in the changes since the feed's revision.
void
TakeChanges(Feed& aFeed, const Listing& aChanges, TimePoint aProvenAt);

/// @return the changes after aSince, or nothing when the feed does not reach
///         back so far
std::optional<Listing>
ChangesSince(const Feed& aFeed, uint64_t aSince);

/// @return all objects of the feed
Listing
WholeOf(const Feed& aFeed);

} // namespace hibiscushold
