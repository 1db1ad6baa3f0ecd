#include "fleet/coldtargets.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// More senders serve more callers through a cold target, but each has a
/// smaller share.
constexpr size_t kMaxSenders = 4;
/// The disjoint sets of senders that are provided for: of nodes that know the
/// roster from before a change, and from after it.
constexpr double kRosters = 2;
/// Requests in any second that a sender's share must allow.
constexpr double kMinRequestsPerSender = 2;
/// An entry shows a change of its VM after about two reports and the way
/// through other nodes.
constexpr auto kNewsTime = milliseconds(2500);

uint64_t
RankOf(std::string_view aNode, std::string_view aVmId)
{
  return Hash64(aVmId, Hash64(aNode));
}

Duration
IntervalOf(double aPerSecond)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / aPerSecond));
}

} // namespace

ColdShare
ShareColdRate(double aPerSecond, const ColdTolerance& aTolerance)
{
  const double allowed =
    (aPerSecond * aTolerance.mFactor + aTolerance.mExtraRequests) / kRosters;
  const auto senders = std::min(
    static_cast<size_t>(std::max(0.0, allowed) / kMinRequestsPerSender),
    kMaxSenders);
  if (senders == 0) {
    return {};
  }
  // A sender with an interval of 1/n seconds sends up to n + 1 times in a
  // second.
  return { senders, allowed / static_cast<double>(senders) - 1 };
}

bool
IsColdSender(std::string_view aSelf,
             std::span<const std::string> aOthers,
             std::string_view aVmId,
             size_t aSenders)
{
  const uint64_t own = RankOf(aSelf, aVmId);
  const auto before =
    std::count_if(aOthers.begin(), aOthers.end(), [&](const auto& it) {
      const uint64_t rank = RankOf(it, aVmId);
      return rank > own || (rank == own && it < aSelf);
    });
  return static_cast<size_t>(before) < aSenders;
}

void
MarkColdTargets(FleetTargets& aTargets,
                const FleetConfig& aConfig,
                const ZonesOut& aZones,
                const ColdView& aView)
{
  for (auto& [name, targets] : aTargets.mByService) {
    const auto service = aConfig.mServices.find(name);
    const double perSecond = service == aConfig.mServices.end()
                               ? 0
                               : service->second.mColdRequestsPerSecond;
    const ColdShare share = ShareColdRate(perSecond, aView.mTolerance);
    for (FleetTarget& it : targets) {
      if (!(perSecond > 0)) {
        it.mColdUntil = {};
        continue;
      }
      const TimePoint backSince = BackSince(aZones, it.mZone);
      if (backSince != TimePoint::min()) {
        it.mColdUntil = std::max(it.mColdUntil, backSince + kNewsTime);
      }
      it.mColdTurnsFrom = aView.mSendsFrom;
      const bool isSender =
        aView.mIsRosterKnown &&
        IsColdSender(aView.mSelf, aView.mOthers, it.mVmId, share.mSenders);
      it.mColdPerSecond = isSender ? share.mPerSecond : 0;
    }
  }
}

const FleetTarget*
ChooseWithTurn(std::span<const FleetTarget> aTargets,
               TargetLoads& aLoads,
               const ChoiceInput& aInput,
               const std::set<std::string>& aTried)
{
  for (;;) {
    const FleetTarget* target = ChooseTarget(aTargets, aLoads, aInput, aTried);
    if (target == nullptr || target->mColdUntil <= aInput.mNow) {
      return target;
    }
    // Another request may have taken the turn since the choice; then the
    // target is not chosen again.
    const TimePoint next = aInput.mNow + IntervalOf(target->mColdPerSecond);
    if (aLoads.TryTakeColdTurn(target->mVmId, aInput.mNow, next)) {
      return target;
    }
  }
}

} // namespace hibiscushold
