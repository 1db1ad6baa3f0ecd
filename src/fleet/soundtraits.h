#pragma once

#include "fleet/crashevidence.h"

#include <array>
#include <mutex>

namespace hibiscushold {

/// Remembers which traits complete answers have shown to be sound. Its size is
/// fixed: a trait may displace another one. Thread-safe; sharded, with a lock
/// for each shard.
class SoundTraits
{
public:
  /// Records a complete answer to a request with the trait.
  void RecordAnswer(TraitId aTrait, TimePoint aNow);

  /// Records that a target ended while a request with the trait was at it. A
  /// trait that was sound loses this standing after several such ends without
  /// a complete answer in between.
  void RecordCrash(TraitId aTrait, TimePoint aNow);

  /// @return whether a complete answer was recorded a short time ago
  bool IsSound(TraitId aTrait, TimePoint aNow) const;

private:
  static constexpr size_t kShards = 16;
  static constexpr size_t kSlotsPerShard = 256;

  struct Slot
  {
    TraitId mTrait = 0;
    TimePoint mAnswerAt;
    TimePoint mCrashAt; ///< the last one that was counted
    uint32_t mCrashes = 0;
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
