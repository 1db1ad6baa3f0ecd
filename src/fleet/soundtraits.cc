#include "fleet/soundtraits.h"

namespace hibiscushold {

namespace {

constexpr auto kMemoryTime = seconds(60);

} // namespace

void
SoundTraits::RecordAnswer(TraitId aTrait, TimePoint aNow)
{
  Shard& shard = mShards[aTrait % kShards];
  const std::lock_guard guard(shard.mLock);
  shard.mSlots[IndexOf(aTrait)] = { aTrait, aNow };
}

bool
SoundTraits::WasAnswered(TraitId aTrait, TimePoint aNow) const
{
  const Shard& shard = mShards[aTrait % kShards];
  const std::lock_guard guard(shard.mLock);
  const Slot& slot = shard.mSlots[IndexOf(aTrait)];
  return slot.mTrait == aTrait && slot.mAnsweredAt != TimePoint{} &&
         aNow - slot.mAnsweredAt < kMemoryTime;
}

} // namespace hibiscushold
