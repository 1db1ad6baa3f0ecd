#pragma once

#include "cluster/peerclient.h"
#include "observe/metrics.h"
#include "relay/feedbook.h"
#include "relay/roster.h"

#include <functional>
#include <mutex>

namespace hibiscushold {

/// Asks another node for the objects under a prefix.
/// @param aSince revision that is known, 0 to list all
/// @param aWait longest wait for a change
using AskPeer = std::function<Result<FeedAnswer>(const RosterEntry& aPeer,
                                                 std::string_view aPrefix,
                                                 uint64_t aSince,
                                                 milliseconds aWait)>;

/// The platform's store, of which lists and watches are asked of another node
/// where one stands in for it. Everything else goes to the store itself. Safe
/// for several threads.
class RelayedPlatform final : public Platform
{
public:
  /// What the relay works with.
  struct Parts
  {
    Platform& mStore;
    FeedBook& mBook; ///< gets all that is read
    AskPeer mAsk;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  explicit RelayedPlatform(Parts aParts);

  /// Tells which nodes may be asked, best first.
  void SetUpstreams(std::vector<RosterEntry> aUpstreams);

  /// @return whether this node asks the store itself
  bool IsDirect() const;

  /// @return whether no other node of the zone goes before this one
  bool IsFirstInZone(std::string_view aZone) const;

  /// Of CallClass::Config, a list may come from another node.
  Result<Listing> List(std::string_view aPrefix, CallClass aClass) override;
  Result<Listing> Watch(std::string_view aPrefix,
                        uint64_t aSince,
                        milliseconds aWait) override;

  Result<Object> Get(std::string_view aKey, CallClass aClass) override;
  Result<uint64_t> Create(std::string_view aKey,
                          std::string_view aValue,
                          CallClass aClass) override;
  Result<uint64_t> Update(std::string_view aKey,
                          std::string_view aValue,
                          uint64_t aVersion,
                          CallClass aClass) override;
  Result<void> Delete(std::string_view aKey,
                      uint64_t aVersion,
                      CallClass aClass) override;
  Result<VmListing> ListVms(uint64_t aSince) override;

  /// @return the nodes that may be asked, whether or not they are aside
  std::vector<RosterEntry> Upstreams() const;

private:
  std::optional<RosterEntry> Upstream() const;
  /// A node that is not asked for a time.
  struct Aside
  {
    TimePoint mUntil;
    uint32_t mFailures = 0; ///< in a row
  };

  Result<Listing> FromPeer(const RosterEntry& aPeer,
                           std::string_view aPrefix,
                           uint64_t aSince,
                           milliseconds aWait);
  void NoteAnswer(const RosterEntry& aPeer);
  void SetAside(const RosterEntry& aPeer,
                std::string_view aPrefix,
                const Failure& aFailure);
  bool MayAskStore(std::string_view aPrefix) const;
  void NoteStore(std::string_view aPrefix, bool aAnswered);
  void Note(std::string_view aPrefix,
            const Result<Listing>& aRead,
            bool aWhole,
            TimePoint aProvenAt);

  const Parts mParts;
  mutable std::mutex mLock; ///< guards the three below
  std::vector<RosterEntry> mUpstreams;
  std::map<std::string, Aside> mAside; ///< by node
  /// When the store last failed this node, by prefix.
  std::map<std::string, TimePoint, std::less<>> mStoreFailedAt;
};

} // namespace hibiscushold
