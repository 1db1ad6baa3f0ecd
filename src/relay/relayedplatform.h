#pragma once

#include "cluster/peerclient.h"
#include "observe/metrics.h"
#include "relay/feedcache.h"
#include "relay/roster.h"

#include <functional>
#include <mutex>

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

  /// Sets the nodes that may be read from, best first.
  void SetUpstreams(std::vector<RosterEntry> aUpstreams);

  /// @return whether this node reads the store itself, as no upstream is usable
  bool ReadsStoreDirectly() const;

  /// @return whether none of the upstreams is in aZone
  bool IsFirstInZone(std::string_view aZone) const;

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

  /// @return all upstreams, including those not used after a failure
  std::vector<RosterEntry> Upstreams() const;

private:
  /// @return the best upstream that is not backed off
  std::optional<RosterEntry> UsableUpstream() const;
  /// An upstream that is not used for a time after a failure.
  struct Backoff
  {
    TimePoint mUntil;
    uint32_t mFailures = 0; ///< consecutive
  };

  Result<Listing> ReadFromPeer(const RosterEntry& aPeer,
                               std::string_view aPrefix,
                               uint64_t aSince,
                               milliseconds aWait);
  void ClearBackoff(const RosterEntry& aPeer);
  void StartBackoff(const RosterEntry& aPeer,
                    std::string_view aPrefix,
                    const Failure& aFailure);
  bool MayReadStore(std::string_view aPrefix) const;
  void RecordStoreResult(std::string_view aPrefix, bool aSucceeded);
  /// @return the read, corrected by what a restored store has lost
  Result<Listing> RecordRead(std::string_view aPrefix,
                             Result<Listing> aRead,
                             bool aIsSnapshot,
                             TimePoint aConfirmedAt);

  const Dependencies mDependencies;
  mutable std::mutex mLock; ///< guards the three below
  std::vector<RosterEntry> mUpstreams;
  std::map<std::string, Backoff> mBackoffs; ///< by node id
  /// When a read from the store last failed, by prefix.
  std::map<std::string, TimePoint, std::less<>> mStoreFailedAt;
};

} // namespace hibiscushold
