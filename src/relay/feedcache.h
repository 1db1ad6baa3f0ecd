#pragma once

#include "relay/feed.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>

namespace hibiscushold {

/// Response to a node that follows a feed of this node.
struct FeedResponse
{
  Listing mListing;
  /// Time from the last confirmation by the store that there was nothing newer
  /// until the arrival of the request; zero if confirmed after that.
  Duration mAge{};
};

/// Feeds that this node reads, kept for the nodes that follow it. Thread-safe.
class FeedCache
{
public:
  /// @param aOrderOf reads the order of an object's content; empty if none
  ///        states one
  explicit FeedCache(const Clock& aClock, WriteOrderReader aOrderOf = {});

  /// Applies the result of a read to the feed of aPrefix.
  /// @param aIsSnapshot whether aListing has all objects, not only changes
  /// @param aConfirmedAt time at which the store had nothing newer
  /// @return the read, corrected by what is known to be newer
  Listing Update(std::string_view aPrefix,
                 Listing aListing,
                 bool aIsSnapshot,
                 TimePoint aConfirmedAt);

  /// @return the revision of the feed of aPrefix, 0 before its first listing
  uint64_t RevisionOf(std::string_view aPrefix) const;

  /// Records that a read of this node failed.
  /// @param aFrom from when on followers get an error, unless a read succeeds
  void MarkUnavailable(std::string_view aPrefix, TimePoint aFrom);

  /// Waits until there are changes after revision aSince, at most until aUntil.
  /// @param aSince 0 returns all objects at once
  /// @return the objects or changes, StoreUnavailable if the feed has
  ///         failed or was never read, StoreHistoryGone if its history starts
  ///         later
  Result<FeedResponse> WaitForChanges(std::string_view aPrefix,
                                      uint64_t aSince,
                                      TimePoint aUntil);

private:
  Result<Listing> ReadFeed(const Feed& aFeed, uint64_t aSince) const;

  const Clock& mClock;
  const WriteOrderReader mOrderOf;
  mutable std::mutex mLock; ///< guards mFeeds
  std::condition_variable mChanged;
  std::map<std::string, Feed, std::less<>> mFeeds;
};

} // namespace hibiscushold
