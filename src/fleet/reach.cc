#include "fleet/reach.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Sound targets may be silent for a moment.
constexpr auto kMaxSilence = milliseconds(1000);
/// Silence of all targets that raises a suspicion.
constexpr auto kSuspiciousSilence = milliseconds(600);
/// How long a failed connection counts, as targets come and go.
constexpr auto kFailureMemory = milliseconds(3000);
constexpr size_t kMinFailedTargets = 2;
/// How long probes count; several rounds in a row decide.
constexpr auto kProbeMemory = milliseconds(1200);
constexpr size_t kMinProbes = 8;
/// How long the reach of another node counts.
constexpr auto kReachOfOthersMemory = milliseconds(3000);
/// Failed probes for each accepted one in a cut.
constexpr size_t kFailedPerAccepted = 4;

} // namespace

bool
ShowsCut(const ProbeRound& aLately)
{
  return aLately.mFailed >= kMinProbes &&
         aLately.mFailed >= kFailedPerAccepted * aLately.mAccepted;
}

bool
EndsCut(const ProbeRound& aRound)
{
  return aRound.mAccepted > aRound.mFailed;
}

TargetReach::TargetReach(TimePoint aNow)
  : mAnsweredAt(aNow)
{
}

void
TargetReach::RecordConnectFailure(const std::string& aVmId, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  std::erase_if(mFailedAt, [aNow](const auto& it) {
    return it.second + kFailureMemory <= aNow;
  });
  mFailedAt[aVmId] = aNow;
}

void
TargetReach::RecordSent(TimePoint aNow)
{
  TimePoint none = TimePoint::max();
  mWaitingSince.compare_exchange_strong(none, aNow);
}

void
TargetReach::RecordAnswer(TimePoint aNow)
{
  mAnsweredAt = aNow;
  mWaitingSince = TimePoint::max();
}

void
TargetReach::RecordProbes(const ProbeRound& aRound, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  mRounds.push_back({ aRound, aNow });
  while (mRounds.front().mAt + kProbeMemory <= aNow) {
    mRounds.pop_front();
  }
  ProbeRound sum;
  for (const TimedRound& it : mRounds) {
    sum.mAccepted += it.mRound.mAccepted;
    sum.mFailed += it.mRound.mFailed;
  }
  mFailsProbes = !EndsCut(aRound) && (mFailsProbes || ShowsCut(sum));
  if (EndsCut(aRound)) {
    // Most targets can be reached, so those that failed are to blame.
    mFailedAt.clear();
    mWaitingSince = TimePoint::max();
  }
}

void
TargetReach::RecordReachOfOthers(TimePoint aNow)
{
  mOthersReachAt = aNow;
}

bool
TargetReach::NeedsProbes(TimePoint aNow) const
{
  if (mFailsProbes) {
    return true;
  }
  const TimePoint waitingSince = mWaitingSince;
  if (waitingSince < aNow && aNow - waitingSince >= kSuspiciousSilence) {
    return true;
  }
  const std::lock_guard guard(mLock);
  const auto failed =
    std::count_if(mFailedAt.begin(), mFailedAt.end(), [aNow](const auto& it) {
      return it.second + kFailureMemory > aNow;
    });
  return static_cast<size_t>(failed) >= kMinFailedTargets;
}

Reach
TargetReach::Assess(TimePoint aNow) const
{
  // If no node reaches the targets, callers would gain nothing elsewhere.
  if (!mFailsProbes || aNow - mOthersReachAt.load() >= kReachOfOthersMemory) {
    return Reach::Full;
  }
  return aNow - mAnsweredAt.load() < kMaxSilence ? Reach::Partial : Reach::None;
}

} // namespace hibiscushold
