#include "relay/relayedplatform.h"

#include "core/random.h"
#include "observe/events.h"

#include <algorithm>
#include <set>

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
/// Upstreams that a node without a place among its zone's readers asks in one
/// call before it turns to the store.
constexpr int kMaxPeersPerRead = 3;
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
RelayedPlatform::SetUpstreams(PrecedingNodes aPreceding)
{
  const std::lock_guard guard(mLock);
  mPreceding = std::move(aPreceding);
  std::set<std::string_view> ids;
  for (const auto* nodes : { &mPreceding.mInZone, &mPreceding.mInOtherZones }) {
    for (const RosterEntry& it : *nodes) {
      ids.insert(it.mId);
    }
  }
  std::erase_if(mBackoffs,
                [&](const auto& it) { return !ids.contains(it.first); });
}

bool
RelayedPlatform::IsUnanswering(const RosterEntry& aNode) const
{
  const auto it = mBackoffs.find(aNode.mId);
  return it != mBackoffs.end() && it->second.mFailures > 0;
}

std::vector<RosterEntry>
RelayedPlatform::UpstreamsLocked() const
{
  const TimePoint now = mDependencies.mClock.Now();
  return ChooseUpstreams(mPreceding, [&](const RosterEntry& aNode) {
    return !IsUnanswering(aNode) || mBackoffs.at(aNode.mId).mUntil <= now;
  });
}

size_t
RelayedPlatform::RankLocked() const
{
  return static_cast<size_t>(std::count_if(
    mPreceding.mInZone.begin(), mPreceding.mInZone.end(), [&](const auto& it) {
      return !IsUnanswering(it);
    }));
}

std::vector<RosterEntry>
RelayedPlatform::Upstreams() const
{
  const std::lock_guard guard(mLock);
  return UpstreamsLocked();
}

size_t
RelayedPlatform::RankInZone() const
{
  const std::lock_guard guard(mLock);
  return RankLocked();
}

std::optional<RosterEntry>
RelayedPlatform::UsableUpstream() const
{
  const TimePoint now = mDependencies.mClock.Now();
  const std::lock_guard guard(mLock);
  for (const RosterEntry& it : UpstreamsLocked()) {
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
RelayedPlatform::IsFirstInZone() const
{
  return RankInZone() == 0;
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
  backoff.mFailures = answered ? 0 : backoff.mFailures + 1;
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

std::string
RelayedPlatform::StoreReadsKey(std::string_view aPrefix) const
{
  return IsZoneReader(RankLocked()) ? std::string(aPrefix) : "";
}

bool
RelayedPlatform::MayReadStore(std::string_view aPrefix) const
{
  const std::lock_guard guard(mLock);
  const auto it = mStoreReads.find(StoreReadsKey(aPrefix));
  const bool hasUpstreams =
    !mPreceding.mInZone.empty() || !mPreceding.mInOtherZones.empty();
  return !hasUpstreams || it == mStoreReads.end() ||
         IsStoreReadDue(it->second, mDependencies.mClock.Now());
}

void
RelayedPlatform::RecordStoreResult(std::string_view aPrefix, bool aSucceeded)
{
  const std::lock_guard guard(mLock);
  RecordStoreRead(mStoreReads[StoreReadsKey(aPrefix)],
                  RankLocked(),
                  aSucceeded,
                  mDependencies.mClock.Now(),
                  NextFraction());
}

bool
RelayedPlatform::IsReader() const
{
  return IsZoneReader(RankInZone());
}

std::optional<Result<Listing>>
RelayedPlatform::ReadFromPeers(std::string_view aPrefix,
                               uint64_t aSince,
                               TimePoint aWaitUntil)
{
  const TimePoint startedAt = mDependencies.mClock.Now();
  const int maxPeers = IsReader() ? 1 : kMaxPeersPerRead;
  for (int n = 0; n < maxPeers; ++n) {
    const std::optional<RosterEntry> peer = UsableUpstream();
    if (!peer) {
      return std::nullopt;
    }
    const TimePoint readAt = mDependencies.mClock.Now();
    const auto wait =
      std::chrono::duration_cast<milliseconds>(TimeLeft(aWaitUntil, readAt));
    Result<Listing> listing = ReadFromPeer(*peer, aPrefix, aSince, wait);
    if (listing) {
      const TimePoint confirmedAt = readAt - listing.value().mMaxAge;
      listing =
        RecordRead(aPrefix, std::move(listing), aSince == 0, confirmedAt);
      // Ages count from the start of this call, but the peer was read later.
      if (listing) {
        listing.value().mMaxAge -= readAt - startedAt;
      }
      return listing;
    }
    if (aSince != 0 && listing.error().mError == Error::StoreHistoryGone) {
      return listing;
    }
    StartBackoff(*peer, aPrefix, listing.error());
  }
  return std::nullopt;
}

Result<Listing>
RelayedPlatform::List(std::string_view aPrefix, CallPriority aPriority)
{
  if (aPriority == CallPriority::Config) {
    auto listing = ReadFromPeers(aPrefix, 0, mDependencies.mClock.Now());
    if (listing) {
      return std::move(*listing);
    }
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
  const TimePoint startedAt = mDependencies.mClock.Now();
  auto fromPeer = ReadFromPeers(aPrefix, aSince, startedAt + aWait);
  if (fromPeer) {
    return std::move(*fromPeer);
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
