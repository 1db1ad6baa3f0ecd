#include "relay/feedcache.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Waits on the condition variable do not count the time during which the
/// machine was suspended, so the deadline is checked at least this often.
constexpr auto kDeadlineCheckInterval = milliseconds(250);

Failure
Unavailable(std::string_view aPrefix)
{
  return { Error::StoreUnavailable,
           std::string(aPrefix) + " is not followed now",
           "ask another node or the store" };
}

} // namespace

FeedCache::FeedCache(const Clock& aClock, WriteOrderReader aOrderOf)
  : mClock(aClock)
  , mOrderOf(std::move(aOrderOf))
{
}

Listing
FeedCache::Update(std::string_view aPrefix,
                  Listing aListing,
                  bool aIsSnapshot,
                  TimePoint aConfirmedAt)
{
  {
    const std::lock_guard guard(mLock);
    Feed& feed = mFeeds[std::string(aPrefix)];
    aListing = CorrectRead(
      feed, std::move(aListing), aIsSnapshot, mOrderOf, aConfirmedAt);
    if (aIsSnapshot) {
      ApplySnapshot(feed, aListing, aConfirmedAt);
    } else {
      ApplyChanges(feed, aListing, aConfirmedAt);
    }
  }
  mChanged.notify_all();
  return aListing;
}

uint64_t
FeedCache::RevisionOf(std::string_view aPrefix) const
{
  const std::lock_guard guard(mLock);
  const auto it = mFeeds.find(aPrefix);
  return it == mFeeds.end() ? 0 : it->second.mRevision;
}

void
FeedCache::MarkUnavailable(std::string_view aPrefix, TimePoint aFrom)
{
  {
    const std::lock_guard guard(mLock);
    std::optional<TimePoint>& from =
      mFeeds[std::string(aPrefix)].mUnavailableFrom;
    from = std::min(from.value_or(aFrom), aFrom);
  }
  mChanged.notify_all();
}

Result<Listing>
FeedCache::ReadFeed(const Feed& aFeed, uint64_t aSince) const
{
  if (aSince == 0) {
    return SnapshotOf(aFeed);
  }
  std::optional<Listing> changes = ChangesSince(aFeed, aSince);
  if (!changes) {
    return Failure{ Error::StoreHistoryGone, "", "list the objects again" };
  }
  return std::move(*changes);
}

Result<FeedResponse>
FeedCache::WaitForChanges(std::string_view aPrefix,
                          uint64_t aSince,
                          TimePoint aUntil)
{
  const TimePoint arrivedAt = mClock.Now();
  std::unique_lock guard(mLock);
  for (;;) {
    const auto it = mFeeds.find(aPrefix);
    const TimePoint now = mClock.Now();
    if (it == mFeeds.end() || it->second.mRevision == 0 ||
        it->second.mUnavailableFrom.value_or(TimePoint::max()) <= now) {
      return Unavailable(aPrefix);
    }
    BOOST_OUTCOME_TRY(listing, ReadFeed(it->second, aSince));
    const bool hasChanges =
      !listing.mObjects.empty() || !listing.mDeleted.empty() || aSince == 0;
    if (hasChanges || now >= aUntil) {
      return FeedResponse{ std::move(listing),
                           TimeLeft(arrivedAt, it->second.mConfirmedAt) };
    }
    const TimePoint wakeAt =
      std::min(aUntil, it->second.mUnavailableFrom.value_or(aUntil));
    mChanged.wait_for(guard,
                      std::min<Duration>(wakeAt - now, kDeadlineCheckInterval));
  }
}

} // namespace hibiscushold
