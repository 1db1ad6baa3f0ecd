#pragma once

#include "fleet/crashevidence.h"

#include <array>
#include <mutex>

namespace hibiscushold {

/// Remembers for which traits there were complete answers. Its size is fixed: a
/// trait may displace another one. Thread-safe; sharded, with a lock for each
/// shard.
class SoundTraits
{
public:
  /// Records a complete answer to a request with the trait.
  void RecordAnswer(TraitId aTrait, TimePoint aNow);

  /// @return whether a complete answer was recorded a short time ago
  bool WasAnswered(TraitId aTrait, TimePoint aNow) const;

private:
  static constexpr size_t kShards = 16;
  static constexpr size_t kSlotsPerShard = 256;

  struct Slot
  {
    TraitId mTrait = 0;
    TimePoint mAnsweredAt;
  };

  struct Shard
  {
    mutable std::mutex mLock; ///< guards the slots
    std::array<Slot, kSlotsPerShard> mSlots;
  };

  static size_t IndexOf(TraitId aTrait)
  {
    return aTrait / kShards % kSlotsPerShard;
  }

  std::array<Shard, kShards> mShards;
};

} // namespace hibiscushold
