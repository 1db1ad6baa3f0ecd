#include "relay/feedbook.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// The condition variable counts no time in which the machine was suspended,
/// so it is looked up again after this at the latest.
constexpr auto kLongestSleep = milliseconds(250);

Failure
Unknown(std::string_view aPrefix)
{
  return { Error::StoreUnavailable,
           std::string(aPrefix) + " is not followed now",
           "ask another node or the store" };
}

} // namespace

FeedBook::FeedBook(const Clock& aClock)
  : mClock(aClock)
{
}

void
FeedBook::Take(std::string_view aPrefix,
               const Listing& aListing,
               bool aWhole,
               TimePoint aProvenAt)
{
  {
    const std::lock_guard guard(mLock);
    Feed& feed = mFeeds[std::string(aPrefix)];
    if (aWhole) {
      TakeWhole(feed, aListing, aProvenAt);
    } else {
      TakeChanges(feed, aListing, aProvenAt);
    }
  }
  mChanged.notify_all();
}

void
FeedBook::Lose(std::string_view aPrefix, TimePoint aFrom)
{
  {
    const std::lock_guard guard(mLock);
    std::optional<TimePoint>& from = mFeeds[std::string(aPrefix)].mLostFrom;
    from = std::min(from.value_or(aFrom), aFrom);
  }
  mChanged.notify_all();
}

Result<Listing>
FeedBook::Look(const Feed& aFeed, uint64_t aSince) const
{
  if (aSince == 0) {
    return WholeOf(aFeed);
  }
  std::optional<Listing> changes = ChangesSince(aFeed, aSince);
  if (!changes) {
    return Failure{ Error::StoreHistoryGone, "", "list the objects again" };
  }
  return std::move(*changes);
}

Result<FeedAnswer>
FeedBook::Wait(std::string_view aPrefix, uint64_t aSince, TimePoint aUntil)
{
  const TimePoint askedAt = mClock.Now();
  std::unique_lock guard(mLock);
  for (;;) {
    const auto it = mFeeds.find(aPrefix);
    const TimePoint now = mClock.Now();
    if (it == mFeeds.end() || it->second.mRevision == 0 ||
        it->second.mLostFrom.value_or(TimePoint::max()) <= now) {
      return Unknown(aPrefix);
    }
    BOOST_OUTCOME_TRY(listing, Look(it->second, aSince));
    const bool hasNews =
      !listing.mObjects.empty() || !listing.mDeleted.empty() || aSince == 0;
    if (hasNews || now >= aUntil) {
      return FeedAnswer{ std::move(listing),
                         TimeLeft(askedAt, it->second.mProvenAt) };
    }
    const TimePoint wake =
      std::min(aUntil, it->second.mLostFrom.value_or(aUntil));
    mChanged.wait_for(guard, std::min<Duration>(wake - now, kLongestSleep));
  }
}

} // namespace hibiscushold
