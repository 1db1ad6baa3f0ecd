#include "fleet/silence.h"

namespace hibiscushold {

namespace {

/// Least number of calls without response that show a silence.
constexpr uint32_t kMinMisses = 5;
/// Longest time between two calls of the same silence.
constexpr auto kMaxTimeBetweenCalls = milliseconds(800);
/// Calls have shorter timeouts. One that took longer was held up on this node.
constexpr auto kMaxCallTime = milliseconds(500);
/// An unresponsive VM is not used for this time. The platform removes a dead VM
/// from its list within three of its intervals.
constexpr auto kUnresponsiveTime = milliseconds(5000);

} // namespace

void
RecordResponse(VmSilence& aSilence, const CallTimes& aCall)
{
  aSilence = {};
  aSilence.mLastResponseAt = aCall.mEndedAt;
}

void
RecordMiss(VmSilence& aSilence, const CallTimes& aCall)
{
  if (aCall.mSentAt < aSilence.mLastResponseAt ||
      aCall.mEndedAt - aCall.mSentAt > kMaxCallTime) {
    return;
  }
  const bool continues =
    aSilence.mMisses > 0 &&
    (ExceedsTolerance(aSilence) ||
     aCall.mSentAt - aSilence.mLastMissAt <= kMaxTimeBetweenCalls);
  if (!continues) {
    aSilence.mMisses = 0;
    aSilence.mSince = aCall.mSentAt;
  }
  ++aSilence.mMisses;
  aSilence.mLastMissAt = aCall.mEndedAt;
}

bool
ExceedsTolerance(const VmSilence& aSilence)
{
  return aSilence.mMisses >= kMinMisses &&
         aSilence.mLastMissAt - aSilence.mSince > kSilenceTolerance;
}

bool
IsUnresponsive(const VmSilence& aSilence, TimePoint aNow)
{
  return ExceedsTolerance(aSilence) &&
         aNow - aSilence.mLastMissAt < kUnresponsiveTime;
}

bool
IsInDoubt(const VmSilence& aSilence, TimePoint aNow)
{
  return aSilence.mMisses > 0 && !ExceedsTolerance(aSilence) &&
         aNow - aSilence.mLastMissAt <= kMaxTimeBetweenCalls;
}

} // namespace hibiscushold
