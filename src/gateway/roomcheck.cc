#include "gateway/roomcheck.h"

#include "core/random.h"
#include "fleet/forecast.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Time of a first event on the way to the caller, with that of the request to
/// the node.
constexpr auto kTransferTime = milliseconds(15);
/// Engines serve priorities 0 to 9, and 5 for requests without one. The upper
/// part is for delayed requests.
constexpr int kDelayedPriority = 6;
constexpr uint32_t kMaxEngineRank = 3;

RequestTerms
TermsOf(const GatewayRequest& aRequest)
{
  return { aRequest.mUrgency,
           OnTimeUntil(aRequest),
           std::min(aRequest.mArrivedAt + aRequest.mRoute->mPatience,
                    aRequest.mDeadline),
           aRequest.mDeadline,
           aRequest.mFirstSentAt,
           aRequest.mArrivedAt };
}

/// @return a stable name for metrics
const char*
ReasonOf(const RoomState& aState, const RoomDecision& aDecision)
{
  return aDecision.mAction == RoomAction::Refuse ? "no_room_in_time"
         : aState.mIsAboveShare                  ? "delayed_above_share"
         : aState.mUrgentTarget                  ? "delayed_less_urgent"
                                                 : "delayed_late";
}

} // namespace

TimePoint
OnTimeUntil(const GatewayRequest& aRequest)
{
  return aRequest.mFirstSentAt + aRequest.mRoute->mLatencyTarget -
         kTransferTime;
}

ResultOrRefusal<bool>
CheckRoom(const GatewayDependencies& aDependencies,
          const GatewayRequest& aRequest,
          const FleetTarget& aTarget)
{
  const TimePoint now = aDependencies.mClock.Now();
  DemandRecord& record = aDependencies.mDemandRecord;
  record.Add(aTarget.mModel,
             aRequest.mAccount,
             aRequest.mUrgency,
             aRequest.mRoute->mLatencyTarget,
             aRequest.mPromptTokens,
             now);
  const TargetLoad load = aDependencies.mLoads.Get(aTarget.mVmId);
  const auto expected = [&](bool aIsDelayed) {
    return std::max(ForecastFirstEvent(aTarget.mTimes,
                                       aTarget.mSlots,
                                       load,
                                       aRequest.mPromptTokens,
                                       aIsDelayed),
                    record.LeastFirstEvent(aTarget.mModel));
  };
  const RoomState state{
    expected(false),
    expected(true),
    record.ShortestTargetAbove(aTarget.mModel, aRequest.mUrgency, now),
    record.IsAboveShare(aTarget.mModel, aRequest.mAccount, now)
  };
  const RoomDecision decision =
    DecideRoom(TermsOf(aRequest), state, now, NextFraction());
  if (decision.mAction == RoomAction::Send) {
    return false;
  }
  aDependencies.mMetrics.CountDenial(ReasonOf(state, decision));
  if (decision.mAction == RoomAction::Delay) {
    return true;
  }
  return Refusal{ RefusalKind::Overloaded,
                  "a first event is expected after " +
                    std::to_string(static_cast<int>(state.mDelayedMillis)) +
                    " ms, when the caller has given up",
                  Ran::No,
                  static_cast<uint32_t>(decision.mRetryAfter.count()) };
}

int
EnginePriority(const Urgency& aUrgency, bool aIsDelayed)
{
  const auto rank = static_cast<int>(std::min(aUrgency.mRoute, kMaxEngineRank));
  return rank + (aIsDelayed ? kDelayedPriority : 0);
}

} // namespace hibiscushold
