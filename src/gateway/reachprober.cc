#include "gateway/reachprober.h"

#include "core/random.h"
#include "observe/events.h"

#include <vector>

namespace hibiscushold {

namespace {

constexpr size_t kProbedTargets = 3;
constexpr auto kConnectTimeout = milliseconds(150);

std::vector<const FleetTarget*>
AllOf(const FleetTargets& aTargets)
{
  std::vector<const FleetTarget*> all;
  for (const auto& [service, targets] : aTargets.mByService) {
    for (const FleetTarget& it : targets) {
      all.push_back(&it);
    }
  }
  return all;
}

} // namespace

ReachProber::ReachProber(std::function<FleetTargetsPtr()> aTargets,
                         Dependencies aDependencies)
  : mTargets(std::move(aTargets))
  , mDependencies(aDependencies)
{
}

void
ReachProber::ProbeOnce()
{
  const Reach reach = mDependencies.mReach.Assess(mDependencies.mClock.Now());
  LogChange(reach);
  if (reach == Reach::Full) {
    return;
  }
  const FleetTargetsPtr targets = mTargets();
  const std::vector<const FleetTarget*> all = AllOf(*targets);
  if (all.empty()) {
    // Without targets there is no reason to send callers elsewhere.
    mDependencies.mReach.RecordConnected(mDependencies.mClock.Now());
    return;
  }
  for (size_t n = 0; n < kProbedTargets; ++n) {
    const double fraction = NextFraction();
    const FleetTarget& target =
      *all[static_cast<size_t>(fraction * static_cast<double>(all.size()))];
    const SessionPool::Session session =
      mDependencies.mSessions.CreateSession(target.mAddress);
    if (Connect(*session, target.mAddress, kConnectTimeout)) {
      mDependencies.mReach.RecordConnected(mDependencies.mClock.Now());
      return;
    }
    mDependencies.mReach.RecordConnectFailure(target.mVmId,
                                              mDependencies.mClock.Now());
  }
}

void
ReachProber::LogChange(Reach aReach)
{
  if (aReach == mLoggedReach) {
    return;
  }
  mLoggedReach = aReach;
  mDependencies.mMetrics.SetGauge("targets_unreachable",
                                  aReach == Reach::Full ? 0 : 1);
  if (aReach == Reach::Full) {
    LogEvent(EventId::TargetsReachable, {});
  } else {
    LogEvent(EventId::TargetsUnreachable,
             { { "answers", aReach == Reach::None ? "no" : "yes" } });
  }
}

} // namespace hibiscushold
