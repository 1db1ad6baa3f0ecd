#pragma once

#include "core/clock.h"
#include "relay/writeorder.h"
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

/// What was known of the objects before the store returned from an older copy.
struct RestoredObjects
{
  /// Recently deleted objects, oldest first, in case the store loses that.
  std::deque<Object> mDeleted;
  /// Objects that are back although they had been deleted. The store removes
  /// them again if nobody renews them.
  std::map<std::string, Object> mWithheld;
  /// Until when deleted objects may be back.
  TimePoint mRestoredUntil;
};

/// The objects under one prefix as of a revision of the store, with the most
/// recent deletions.
struct Feed
{
  uint64_t mRevision = 0;    ///< 0 before the first listing
  uint64_t mHistoryFrom = 0; ///< changes after this revision are known
  /// The last gap in the history, before a listing: objects that appeared and
  /// went between these revisions are not known.
  uint64_t mGapFrom = 0;
  uint64_t mGapTo = 0;
  std::map<std::string, Object> mObjects;
  std::deque<Deletion> mDeletions; ///< in order of their revisions
  TimePoint mConfirmedAt;          ///< the store had nothing newer at this time
  RestoredObjects mRestored;
  KnownWrites mWrites; ///< the newest of each object
  /// Set after a failed read: the feed is unavailable to followers from then.
  std::optional<TimePoint> mUnavailableFrom;
};

/// Makes a read consistent with what the feed knew before: an object whose
/// content is older than its newest known one gets that content, or is left out
/// if it was deleted meanwhile. After a return of the store, a deleted object
/// that is back without a newer content is left out for some time.
/// @param aIsSnapshot whether aRead has all objects, not only changes
/// @param aOrderOf may be empty if no contents state their order
/// @param aConfirmedAt time at which the store had nothing newer
/// @return the corrected read
Listing
CorrectRead(Feed& aFeed,
            Listing aRead,
            bool aIsSnapshot,
            const WriteOrderReader& aOrderOf,
            TimePoint aConfirmedAt);

/// Replaces the objects by those of a full listing; objects missing from it
/// count as deleted. A listing older than the feed is ignored.
/// @param aConfirmedAt time at which the store had nothing newer
void
ApplySnapshot(Feed& aFeed, const Listing& aListing, TimePoint aConfirmedAt);

/// Applies changes up to a revision. Those of another era than the feed's, or
/// of a read that a later one has overtaken, are ignored.
/// @param aConfirmedAt time at which the store had nothing newer
void
ApplyChanges(Feed& aFeed, const Listing& aChanges, TimePoint aConfirmedAt);

/// @return the changes after revision aSince, or nothing if the feed's history
///         starts later or aSince is of another era
std::optional<Listing>
ChangesSince(const Feed& aFeed, uint64_t aSince);

/// @return all objects of the feed with its revision
Listing
SnapshotOf(const Feed& aFeed);

} // namespace hibiscushold
