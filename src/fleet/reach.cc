#include "fleet/reach.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Sound targets may be silent for a moment; a connection takes far less.
constexpr auto kMaxSilence = milliseconds(1000);
constexpr size_t kMinFailedTargets = 4;
/// How long a failed connection counts, as targets come and go.
constexpr auto kFailureMemory = milliseconds(3000);

} // namespace

Reach
AssessReach(const ReachEvidence& aEvidence, TimePoint aNow)
{
  if (aEvidence.mFailedTargets < kMinFailedTargets ||
      aNow - aEvidence.mConnectedAt < kMaxSilence) {
    return Reach::Full;
  }
  return aNow - aEvidence.mAnsweredAt < kMaxSilence ? Reach::OpenConnectionsOnly
                                                    : Reach::None;
}

TargetReach::TargetReach(TimePoint aNow)
  : mAnsweredAt(aNow)
  , mConnectedAt(aNow)
{
}

void
TargetReach::RecordConnected(TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  mConnectedAt = aNow;
  mFailedAt.clear();
}

void
TargetReach::RecordConnectFailure(const std::string& aVmId, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  mFailedAt[aVmId] = aNow;
}

void
TargetReach::RecordAnswer(TimePoint aNow)
{
  mAnsweredAt = aNow;
}

Reach
TargetReach::Assess(TimePoint aNow) const
{
  const std::lock_guard guard(mLock);
  const auto failed =
    std::count_if(mFailedAt.begin(), mFailedAt.end(), [aNow](const auto& it) {
      return it.second + kFailureMemory > aNow;
    });
  return AssessReach({ mConnectedAt, mAnsweredAt, static_cast<size_t>(failed) },
                     aNow);
}

} // namespace hibiscushold
