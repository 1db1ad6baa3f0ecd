#include "fleet/soundtraits.h"

namespace hibiscushold {

namespace {

constexpr auto kSoundTime = seconds(60);
/// Crashes without an answer in between after which a trait that was sound may
/// have become the cause.
constexpr uint32_t kMaxSoundCrashes = 3;

} // namespace

void
SoundTraits::RecordAnswer(TraitId aTrait, TimePoint aNow)
{
  Shard& shard = mShards[aTrait % kShards];
  const std::lock_guard guard(shard.mLock);
  shard.mSlots[IndexOf(aTrait)] = { aTrait, aNow, {}, 0 };
}

void
SoundTraits::RecordCrash(TraitId aTrait, TimePoint aNow)
{
  Shard& shard = mShards[aTrait % kShards];
  const std::lock_guard guard(shard.mLock);
  Slot& slot = shard.mSlots[IndexOf(aTrait)];
  if (slot.mTrait == aTrait && aNow - slot.mCrashAt >= kMinCrashDistance) {
    slot.mCrashAt = aNow;
    ++slot.mCrashes;
  }
}

bool
SoundTraits::IsSound(TraitId aTrait, TimePoint aNow) const
{
  const Shard& shard = mShards[aTrait % kShards];
  const std::lock_guard guard(shard.mLock);
  const Slot& slot = shard.mSlots[IndexOf(aTrait)];
  return slot.mTrait == aTrait && slot.mAnswerAt != TimePoint{} &&
         aNow - slot.mAnswerAt < kSoundTime &&
         slot.mCrashes <= kMaxSoundCrashes;
}

} // namespace hibiscushold
