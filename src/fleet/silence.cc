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

/// Calls without response in a row, one of which may have been lost.
constexpr uint32_t kMinMissesOfSummary = 2;
constexpr auto kSummarizedTime = milliseconds(1000);
/// Least number of VMs that are missing in a cut, and how many of them there
/// are at least for each VM that responds.
constexpr size_t kMinMissingInCut = 9;
constexpr size_t kMissingPerResponding = 10;

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

bool
IsLostAfterLapse(const VmSilence& aSilence, TimePoint aNow)
{
  return IsUnresponsive(aSilence, aNow) ||
         (aSilence.mMisses > kMinMissesOfSummary &&
          aNow - aSilence.mLastMissAt <= kMaxTimeBetweenCalls);
}

void
Summarize(const VmSilence& aSilence, TimePoint aNow, CallSummary& aInto)
{
  const bool missed = aSilence.mMisses >= kMinMissesOfSummary;
  if (missed && aNow - aSilence.mLastMissAt <= kSummarizedTime) {
    ++aInto.mMissing;
  } else if (!missed && aNow - aSilence.mLastResponseAt <= kSummarizedTime) {
    ++aInto.mResponding;
  }
}

bool
SuggestsCut(const CallSummary& aSummary)
{
  return aSummary.mMissing >= kMinMissingInCut &&
         aSummary.mResponding * kMissingPerResponding <= aSummary.mMissing;
}

} // namespace hibiscushold
