#include "relay/relayedplatform.h"

#include "observe/events.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// A node that did not answer is not asked again for so long: about the time
/// in which a killed node is back. It doubles with each failure in a row, up to
/// half a minute for one that is gone for good.
constexpr auto kAside = milliseconds(2000);
constexpr uint32_t kMostDoublings = 4;
/// A node that lost the store has it back sooner.
constexpr auto kAsideWithoutStore = milliseconds(1000);
/// A node that has others to ask tries the store again only after this, as all
/// nodes do so while the store is away, and each try has its price.
constexpr auto kDirectAgain = milliseconds(1000);
/// The store answers within milliseconds. A node that lost the one above it
/// tells those below when it takes longer than this.
constexpr auto kStorePatience = milliseconds(150);
/// A node whose own proof is older than this may have lost the store without
/// knowing it yet. At the second node of a chain it is 1.5 s at most.
constexpr auto kOldestAnswer = milliseconds(2000);

Failure
TriedLately(std::string_view aPrefix)
{
  return { Error::StoreUnavailable,
           std::string(aPrefix) + ": the store failed a moment ago",
           "" };
}

} // namespace

RelayedPlatform::RelayedPlatform(Parts aParts)
  : mParts(std::move(aParts))
{
}

void
RelayedPlatform::SetUpstreams(std::vector<RosterEntry> aUpstreams)
{
  const std::lock_guard guard(mLock);
  mUpstreams = std::move(aUpstreams);
}

std::vector<RosterEntry>
RelayedPlatform::Upstreams() const
{
  const std::lock_guard guard(mLock);
  return mUpstreams;
}

std::optional<RosterEntry>
RelayedPlatform::Upstream() const
{
  const TimePoint now = mParts.mClock.Now();
  const std::lock_guard guard(mLock);
  for (const RosterEntry& it : mUpstreams) {
    const auto aside = mAside.find(it.mId);
    if (aside == mAside.end() || aside->second.mUntil <= now) {
      return it;
    }
  }
  return std::nullopt;
}

bool
RelayedPlatform::IsDirect() const
{
  return !Upstream().has_value();
}

bool
RelayedPlatform::IsFirstInZone(std::string_view aZone) const
{
  const std::lock_guard guard(mLock);
  return std::none_of(mUpstreams.begin(),
                      mUpstreams.end(),
                      [&](const RosterEntry& it) { return it.mZone == aZone; });
}

void
RelayedPlatform::SetAside(const RosterEntry& aPeer,
                          std::string_view aPrefix,
                          const Failure& aFailure)
{
  LogEvent(EventId::UpstreamLost,
           { { "node", aPeer.mId }, { "reason", Describe(aFailure) } });
  mParts.mMetrics.CountRelay("peer_lost");
  // Those that follow this node must not wait for long until the store answers.
  mParts.mBook.Lose(aPrefix, mParts.mClock.Now() + kStorePatience);
  const bool answered = aFailure.mError == Error::StoreUnavailable;
  const std::lock_guard guard(mLock);
  Aside& aside = mAside[aPeer.mId];
  const uint32_t doublings =
    answered ? 0 : std::min(aside.mFailures, kMostDoublings);
  aside.mFailures += answered ? 0 : 1;
  aside.mUntil = mParts.mClock.Now() +
                 (answered ? kAsideWithoutStore : kAside * (1U << doublings));
}

void
RelayedPlatform::NoteAnswer(const RosterEntry& aPeer)
{
  const std::lock_guard guard(mLock);
  mAside.erase(aPeer.mId);
}

Result<Listing>
RelayedPlatform::FromPeer(const RosterEntry& aPeer,
                          std::string_view aPrefix,
                          uint64_t aSince,
                          milliseconds aWait)
{
  Result<FeedAnswer> answer = mParts.mAsk(aPeer, aPrefix, aSince, aWait);
  if (!answer) {
    return answer.error();
  }
  // Nodes look at the roster seldom, and none of its entries ends in time.
  if (aPrefix != kRosterPrefix && answer.value().mAge > kOldestAnswer) {
    return Failure{ Error::StoreUnavailable,
                    aPeer.mId + " last asked the store " +
                      std::to_string(ToMillis(answer.value().mAge)) + " ms ago",
                    "" };
  }
  NoteAnswer(aPeer);
  Listing listing = std::move(answer.value().mListing);
  listing.mAge = answer.value().mAge;
  return listing;
}

void
RelayedPlatform::Note(std::string_view aPrefix,
                      const Result<Listing>& aRead,
                      bool aWhole,
                      TimePoint aProvenAt)
{
  if (aRead) {
    mParts.mBook.Take(aPrefix, aRead.value(), aWhole, aProvenAt);
  } else if (aRead.error().mError != Error::StoreHistoryGone) {
    mParts.mBook.Lose(aPrefix, mParts.mClock.Now());
  }
}

bool
RelayedPlatform::MayAskStore(std::string_view aPrefix) const
{
  const std::lock_guard guard(mLock);
  const auto it = mStoreFailedAt.find(aPrefix);
  return mUpstreams.empty() || it == mStoreFailedAt.end() ||
         mParts.mClock.Now() >= it->second + kDirectAgain;
}

void
RelayedPlatform::NoteStore(std::string_view aPrefix, bool aAnswered)
{
  const std::lock_guard guard(mLock);
  if (aAnswered) {
    mStoreFailedAt.erase(std::string(aPrefix));
  } else {
    mStoreFailedAt[std::string(aPrefix)] = mParts.mClock.Now();
  }
}

Result<Listing>
RelayedPlatform::List(std::string_view aPrefix, CallClass aClass)
{
  const std::optional<RosterEntry> peer = Upstream();
  const TimePoint askedAt = mParts.mClock.Now();
  if (peer && aClass == CallClass::Config) {
    Result<Listing> listing = FromPeer(*peer, aPrefix, 0, milliseconds(0));
    if (listing) {
      Note(aPrefix, listing, true, askedAt - listing.value().mAge);
      return listing;
    }
    SetAside(*peer, aPrefix, listing.error());
  }
  if (!MayAskStore(aPrefix)) {
    return TriedLately(aPrefix);
  }
  const TimePoint directAt = mParts.mClock.Now();
  Result<Listing> listing = mParts.mStore.List(aPrefix, aClass);
  Note(aPrefix, listing, true, directAt);
  NoteStore(aPrefix, listing.has_value());
  return listing;
}

Result<Listing>
RelayedPlatform::Watch(std::string_view aPrefix,
                       uint64_t aSince,
                       milliseconds aWait)
{
  const std::optional<RosterEntry> peer = Upstream();
  const TimePoint askedAt = mParts.mClock.Now();
  if (peer) {
    Result<Listing> changes = FromPeer(*peer, aPrefix, aSince, aWait);
    if (changes) {
      Note(aPrefix, changes, false, askedAt - changes.value().mAge);
      return changes;
    }
    if (changes.error().mError == Error::StoreHistoryGone) {
      return changes;
    }
    SetAside(*peer, aPrefix, changes.error());
  }
  if (!MayAskStore(aPrefix)) {
    return TriedLately(aPrefix);
  }
  const TimePoint directAt = mParts.mClock.Now();
  Result<Listing> changes = mParts.mStore.Watch(aPrefix, aSince, aWait);
  Note(aPrefix, changes, false, directAt);
  NoteStore(aPrefix,
            changes.has_value() ||
              changes.error().mError == Error::StoreHistoryGone);
  if (changes) {
    // The question that was answered began when the peer was still asked.
    changes.value().mAge = askedAt - directAt;
  }
  return changes;
}

Result<Object>
RelayedPlatform::Get(std::string_view aKey, CallClass aClass)
{
  return mParts.mStore.Get(aKey, aClass);
}

Result<uint64_t>
RelayedPlatform::Create(std::string_view aKey,
                        std::string_view aValue,
                        CallClass aClass)
{
  return mParts.mStore.Create(aKey, aValue, aClass);
}

Result<uint64_t>
RelayedPlatform::Update(std::string_view aKey,
                        std::string_view aValue,
                        uint64_t aVersion,
                        CallClass aClass)
{
  return mParts.mStore.Update(aKey, aValue, aVersion, aClass);
}

Result<void>
RelayedPlatform::Delete(std::string_view aKey,
                        uint64_t aVersion,
                        CallClass aClass)
{
  return mParts.mStore.Delete(aKey, aVersion, aClass);
}

Result<VmListing>
RelayedPlatform::ListVms(uint64_t aSince)
{
  return mParts.mStore.ListVms(aSince);
}

} // namespace hibiscushold
