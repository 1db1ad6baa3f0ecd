#include "relay/relayedplatform.h"

#include "observe/events.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Backoff after an upstream did not answer: about the time in which a killed
/// node restarts. It doubles with each consecutive failure, up to half a minute
/// for a node that does not return.
constexpr auto kBaseBackoff = milliseconds(2000);
constexpr uint32_t kMaxDoublings = 4;
/// Shorter for an upstream that answers but has lost the store, as it recovers
/// sooner.
constexpr auto kNoStoreBackoff = milliseconds(1000);
/// Minimum time between a failed read from the store and the next, for nodes
/// with upstreams. While the store is unavailable all nodes fall back to it,
/// and each attempt has a cost.
constexpr auto kStoreRetryInterval = milliseconds(1000);
/// The store answers within milliseconds. If it takes longer than this after a
/// failed read from an upstream, the followers of this node get an error.
constexpr auto kStoreReadGrace = milliseconds(150);
/// An upstream whose data was last confirmed longer ago than this may have lost
/// the store without having noticed. At the second node of a chain the age is
/// 1.5 s at most.
constexpr auto kMaxUpstreamAge = milliseconds(2000);

Failure
StoreFailedRecently(std::string_view aPrefix)
{
  return { Error::StoreUnavailable,
           std::string(aPrefix) + ": the store failed a moment ago",
           "" };
}

} // namespace

RelayedPlatform::RelayedPlatform(Dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
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
RelayedPlatform::UsableUpstream() const
{
  const TimePoint now = mDependencies.mClock.Now();
  const std::lock_guard guard(mLock);
  for (const RosterEntry& it : mUpstreams) {
    const auto backoff = mBackoffs.find(it.mId);
    if (backoff == mBackoffs.end() || backoff->second.mUntil <= now) {
      return it;
    }
  }
  return std::nullopt;
}

bool
RelayedPlatform::ReadsStoreDirectly() const
{
  return !UsableUpstream().has_value();
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
RelayedPlatform::StartBackoff(const RosterEntry& aPeer,
                              std::string_view aPrefix,
                              const Failure& aFailure)
{
  LogEvent(EventId::UpstreamLost,
           { { "node", aPeer.mId }, { "reason", Describe(aFailure) } });
  mDependencies.mMetrics.CountRelayEvent("peer_lost");
  // The followers of this node must not wait long for a slow store.
  mDependencies.mFeeds.MarkUnavailable(
    aPrefix, mDependencies.mClock.Now() + kStoreReadGrace);
  const bool answered = aFailure.mError == Error::StoreUnavailable;
  const std::lock_guard guard(mLock);
  Backoff& backoff = mBackoffs[aPeer.mId];
  const uint32_t doublings =
    answered ? 0 : std::min(backoff.mFailures, kMaxDoublings);
  backoff.mFailures += answered ? 0 : 1;
  backoff.mUntil =
    mDependencies.mClock.Now() +
    (answered ? kNoStoreBackoff : kBaseBackoff * (1U << doublings));
}

void
RelayedPlatform::ClearBackoff(const RosterEntry& aPeer)
{
  const std::lock_guard guard(mLock);
  mBackoffs.erase(aPeer.mId);
}

Result<Listing>
RelayedPlatform::ReadFromPeer(const RosterEntry& aPeer,
                              std::string_view aPrefix,
                              uint64_t aSince,
                              milliseconds aWait)
{
  Result<FeedResponse> response =
    mDependencies.mReadPeer(aPeer, aPrefix, aSince, aWait);
  if (!response) {
    return response.error();
  }
  // The roster is exempt: nodes read it rarely and its entries do not expire.
  if (aPrefix != kRosterPrefix && response.value().mAge > kMaxUpstreamAge) {
    return Failure{ Error::StoreUnavailable,
                    aPeer.mId + " last asked the store " +
                      std::to_string(ToMillis(response.value().mAge)) +
                      " ms ago",
                    "" };
  }
  // A listing would take this node back to the older state.
  if (aSince == 0 && response.value().mListing.mRevision <
                       mDependencies.mFeeds.RevisionOf(aPrefix)) {
    return Failure{ Error::StoreUnavailable,
                    aPeer.mId + " has an older state of the store",
                    "" };
  }
  ClearBackoff(aPeer);
  Listing listing = std::move(response.value().mListing);
  listing.mMaxAge = response.value().mAge;
  return listing;
}

Result<Listing>
RelayedPlatform::RecordRead(std::string_view aPrefix,
                            Result<Listing> aRead,
                            bool aIsSnapshot,
                            TimePoint aConfirmedAt)
{
  if (aRead) {
    return mDependencies.mFeeds.Update(
      aPrefix, std::move(aRead.value()), aIsSnapshot, aConfirmedAt);
  }
  if (aRead.error().mError != Error::StoreHistoryGone) {
    mDependencies.mFeeds.MarkUnavailable(aPrefix, mDependencies.mClock.Now());
  }
  return aRead;
}

bool
RelayedPlatform::MayReadStore(std::string_view aPrefix) const
{
  const std::lock_guard guard(mLock);
  const auto it = mStoreFailedAt.find(aPrefix);
  return mUpstreams.empty() || it == mStoreFailedAt.end() ||
         mDependencies.mClock.Now() >= it->second + kStoreRetryInterval;
}

void
RelayedPlatform::RecordStoreResult(std::string_view aPrefix, bool aSucceeded)
{
  const std::lock_guard guard(mLock);
  if (aSucceeded) {
    mStoreFailedAt.erase(std::string(aPrefix));
  } else {
    mStoreFailedAt[std::string(aPrefix)] = mDependencies.mClock.Now();
  }
}

Result<Listing>
RelayedPlatform::List(std::string_view aPrefix, CallPriority aPriority)
{
  const std::optional<RosterEntry> peer = UsableUpstream();
  const TimePoint startedAt = mDependencies.mClock.Now();
  if (peer && aPriority == CallPriority::Config) {
    Result<Listing> listing = ReadFromPeer(*peer, aPrefix, 0, milliseconds(0));
    if (listing) {
      const TimePoint confirmedAt = startedAt - listing.value().mMaxAge;
      return RecordRead(aPrefix, std::move(listing), true, confirmedAt);
    }
    StartBackoff(*peer, aPrefix, listing.error());
  }
  if (!MayReadStore(aPrefix)) {
    return StoreFailedRecently(aPrefix);
  }
  const TimePoint storeReadAt = mDependencies.mClock.Now();
  Result<Listing> listing = mDependencies.mStore.List(aPrefix, aPriority);
  RecordStoreResult(aPrefix, listing.has_value());
  return RecordRead(aPrefix, std::move(listing), true, storeReadAt);
}

Result<Listing>
RelayedPlatform::Watch(std::string_view aPrefix,
                       uint64_t aSince,
                       milliseconds aWait)
{
  const std::optional<RosterEntry> peer = UsableUpstream();
  const TimePoint startedAt = mDependencies.mClock.Now();
  if (peer) {
    Result<Listing> changes = ReadFromPeer(*peer, aPrefix, aSince, aWait);
    if (changes) {
      const TimePoint confirmedAt = startedAt - changes.value().mMaxAge;
      return RecordRead(aPrefix, std::move(changes), false, confirmedAt);
    }
    if (changes.error().mError == Error::StoreHistoryGone) {
      return changes;
    }
    StartBackoff(*peer, aPrefix, changes.error());
  }
  if (!MayReadStore(aPrefix)) {
    return StoreFailedRecently(aPrefix);
  }
  const TimePoint storeReadAt = mDependencies.mClock.Now();
  Result<Listing> changes = mDependencies.mStore.Watch(aPrefix, aSince, aWait);
  RecordStoreResult(aPrefix,
                    changes.has_value() ||
                      changes.error().mError == Error::StoreHistoryGone);
  changes = RecordRead(aPrefix, std::move(changes), false, storeReadAt);
  if (changes) {
    // Ages count from the start of this call, but the store was read later,
    // after the upstream had failed; hence a negative age.
    changes.value().mMaxAge = startedAt - storeReadAt;
  }
  return changes;
}

Result<Object>
RelayedPlatform::Get(std::string_view aKey, CallPriority aPriority)
{
  return mDependencies.mStore.Get(aKey, aPriority);
}

Result<uint64_t>
RelayedPlatform::Create(std::string_view aKey,
                        std::string_view aValue,
                        CallPriority aPriority)
{
  return mDependencies.mStore.Create(aKey, aValue, aPriority);
}

Result<uint64_t>
RelayedPlatform::Update(std::string_view aKey,
                        std::string_view aValue,
                        uint64_t aVersion,
                        CallPriority aPriority)
{
  return mDependencies.mStore.Update(aKey, aValue, aVersion, aPriority);
}

Result<void>
RelayedPlatform::Delete(std::string_view aKey,
                        uint64_t aVersion,
                        CallPriority aPriority)
{
  return mDependencies.mStore.Delete(aKey, aVersion, aPriority);
}

Result<VmListing>
RelayedPlatform::ListVms(uint64_t aSince)
{
  return mDependencies.mStore.ListVms(aSince);
}

} // namespace hibiscushold
