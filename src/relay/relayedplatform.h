#pragma once

#include "cluster/peerclient.h"
#include "observe/metrics.h"
#include "relay/feedcache.h"
#include "relay/readpolicy.h"
#include "relay/roster.h"

#include <functional>
#include <mutex>
#include <optional>

namespace hibiscushold {

/// Reads the objects under a prefix, or their changes, from another node.
/// @param aSince return changes after this revision, 0 to list all objects
/// @param aWait longest wait for a change
using PeerReader = std::function<Result<FeedResponse>(const RosterEntry& aPeer,
                                                      std::string_view aPrefix,
                                                      uint64_t aSince,
                                                      milliseconds aWait)>;

/// The platform's store, with lists and watches read from an upstream node if
/// one is available. All other calls go to the store itself. Thread-safe.
class RelayedPlatform final : public Platform
{
public:
  struct Dependencies
  {
    Platform& mStore;
    FeedCache& mFeeds; ///< receives the results of all lists and watches
    PeerReader mReadPeer;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  explicit RelayedPlatform(Dependencies aDependencies);

  /// Sets the nodes that may be read from. Those that did not answer the latest
  /// call have no part in this node's rank, and are no upstreams for a time, as
  /// a node that is gone for good may stay in the roster.
  void SetUpstreams(PrecedingNodes aPreceding);

  /// @return whether this node reads the store itself, as no upstream is usable
  bool ReadsStoreDirectly() const;

  bool IsFirstInZone() const;

  /// @return whether this node is to read the store when its upstream has
  ///         failed (relay/readpolicy.h)
  bool IsReader() const;

  /// Only a list of CallPriority::Config may be read from an upstream.
  Result<Listing> List(std::string_view aPrefix,
                       CallPriority aPriority) override;
  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t aSince,
                        milliseconds aWait) override;

  Result<Object> Get(std::string_view aKey, CallPriority aPriority) override;
  Result<uint64_t> Create(std::string_view aKey,
                          std::string_view aValue,
                          CallPriority aPriority) override;
  Result<uint64_t> Update(std::string_view aKey,
                          std::string_view aValue,
                          uint64_t aVersion,
                          CallPriority aPriority) override;
  Result<void> Delete(std::string_view aKey,
                      uint64_t aVersion,
                      CallPriority aPriority) override;
  Result<VmListing> ListVms(uint64_t aSince) override;

  /// @return the upstreams, including those that lost the store a moment ago
  std::vector<RosterEntry> Upstreams() const;

  /// @return the nodes of this one's zone that precede it, without those that
  ///         did not answer the latest call
  size_t RankInZone() const;

private:
  /// @return the best upstream that is not backed off
  std::optional<RosterEntry> UsableUpstream() const;
  /// An upstream that is not used for a time after a failure.
  struct Backoff
  {
    TimePoint mUntil;
    uint32_t mFailures = 0; ///< consecutive calls without an answer
  };

  Result<Listing> ReadFromPeer(const RosterEntry& aPeer,
                               std::string_view aPrefix,
                               uint64_t aSince,
                               milliseconds aWait);
  void ClearBackoff(const RosterEntry& aPeer);
  void StartBackoff(const RosterEntry& aPeer,
                    std::string_view aPrefix,
                    const Failure& aFailure);
  /// Reads from the upstreams; a list if aSince is 0.
  /// @return the first result that tells something, or nothing
  std::optional<Result<Listing>> ReadFromPeers(std::string_view aPrefix,
                                               uint64_t aSince,
                                               TimePoint aWaitUntil);
  /// The lock must be held for the three below.
  bool IsUnanswering(const RosterEntry& aNode) const;
  std::vector<RosterEntry> UpstreamsLocked() const;
  size_t RankLocked() const;
  /// @return the key in mStoreReads; the lock must be held
  std::string StoreReadsKey(std::string_view aPrefix) const;
  bool MayReadStore(std::string_view aPrefix) const;
  void RecordStoreResult(std::string_view aPrefix, bool aSucceeded);
  /// @return the read, corrected by what is known to be newer
  Result<Listing> RecordRead(std::string_view aPrefix,
                             Result<Listing> aRead,
                             bool aIsSnapshot,
                             TimePoint aConfirmedAt);

  const Dependencies mDependencies;
  mutable std::mutex mLock; ///< guards the three below
  PrecedingNodes mPreceding;
  std::map<std::string, Backoff> mBackoffs; ///< by node id
  /// By prefix at a reader, under one key otherwise.
  std::map<std::string, StoreReads> mStoreReads;
};

} // namespace hibiscushold
