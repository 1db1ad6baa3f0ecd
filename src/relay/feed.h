#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <compare>
#include <deque>
#include <functional>
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

/// Compares two contents of one object by what their writer states of them,
/// such as a sequence number; unordered if they state nothing.
using ContentOrder =
  std::function<std::partial_ordering(const Object& aL, const Object& aR)>;

/// What was known of the objects before the store returned from an older copy.
struct RestoredObjects
{
  /// The newest contents by key, from before and after the return.
  std::map<std::string, Object> mNewest;
  /// Recently deleted objects, oldest first, in case the store loses that.
  std::deque<Object> mDeleted;
  /// Objects that are back although they had been deleted. The store removes
  /// them again if nobody renews them.
  std::map<std::string, Object> mWithheld;
  /// Until when contents may be older and deleted objects may be back.
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
  /// Set after a failed read: the feed is unavailable to followers from then.
  std::optional<TimePoint> mUnavailableFrom;
};

/// Makes a read of a restored store consistent with what the feed knew before:
/// an object older than its last known content gets that content, and a deleted
/// object that has returned without a newer content is left out for some time.
/// @param aIsSnapshot whether aRead has all objects, not only changes
/// @param aOrder may be empty if no contents can be compared
/// @param aConfirmedAt time at which the store had nothing newer
/// @return the corrected read
Listing
CorrectRestored(Feed& aFeed,
                Listing aRead,
                bool aIsSnapshot,
                const ContentOrder& aOrder,
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
