#pragma once

#include "relay/feed.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>

namespace hibiscushold {

/// An answer from a feed to a node that follows it.
struct FeedAnswer
{
  Listing mListing;
  /// The store had nothing newer so long before the question came; zero when
  /// it was asked after that.
  Duration mAge{};
};

/// The feeds that this node follows, for others that follow it. Safe for
/// several threads.
class FeedBook
{
public:
  explicit FeedBook(const Clock& aClock);

  /// Notes an answer that this node got.
  /// @param aWhole whether it lists all objects, not only changes
  void Take(std::string_view aPrefix,
            const Listing& aListing,
            bool aWhole,
            TimePoint aProvenAt);

  /// Notes that nobody answered this node's last question.
  /// @param aFrom when followers are to be told, unless an answer comes first
  void Lose(std::string_view aPrefix, TimePoint aFrom);

  /// Waits until there are changes after aSince, or until aUntil.
  /// @param aSince 0 for all objects
  /// @return StoreUnavailable when this node has lost the feed or never had
  ///         it, StoreHistoryGone when it does not reach back so far
  Result<FeedAnswer> Wait(std::string_view aPrefix,
                          uint64_t aSince,
                          TimePoint aUntil);

private:
  Result<Listing> Look(const Feed& aFeed, uint64_t aSince) const;

  const Clock& mClock;
  std::mutex mLock; ///< guards mFeeds
  std::condition_variable mChanged;
  std::map<std::string, Feed, std::less<>> mFeeds;
};

} // namespace hibiscushold
