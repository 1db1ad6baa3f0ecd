#include "gateway/roomcheck.h"

#include "core/random.h"
#include "fleet/forecast.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// Time of a first event on the way to the caller, with that of the request to
/// the node.
constexpr auto kTransferTime = milliseconds(15);

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

std::string
MessageOf(const RoomState& aState, const RoomDecision& aDecision)
{
  return "a first event is expected after " +
         std::to_string(static_cast<int>(aState.mFirstEventMillis)) +
         " ms, the limit is " +
         std::to_string(static_cast<int>(aDecision.mLimitMillis)) + " ms" +
         (aState.mUrgentTarget ? ", more urgent requests go first" : "") +
         (aState.mIsAboveShare ? ", the account takes more than its share"
                               : "");
}

/// @return a stable name for metrics
const char*
ReasonOf(const RoomState& aState, const RoomDecision& aDecision)
{
  return aDecision.mAction == RoomAction::Refuse ? "no_room_in_time"
         : aState.mIsAboveShare                  ? "above_share"
         : aState.mUrgentTarget                  ? "less_urgent"
                                                 : "expected_wait";
}

} // namespace

TimePoint
OnTimeUntil(const GatewayRequest& aRequest)
{
  return aRequest.mFirstSentAt + aRequest.mRoute->mLatencyTarget -
         kTransferTime;
}

ResultOrRefusal<void>
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
  const double forecast = ForecastFirstEvent(
    aTarget.mTimes, aTarget.mSlots, load, aRequest.mPromptTokens);
  const RoomState state{
    std::max(forecast + record.OverheadOf(aTarget.mModel),
             MeasuredFirstEventMillis(load, now)),
    record.ShortestTargetAbove(aTarget.mModel, aRequest.mUrgency, now),
    record.IsAboveShare(aTarget.mModel, aRequest.mAccount, now)
  };
  const RoomDecision decision =
    DecideRoom(TermsOf(aRequest), state, now, NextFraction());
  if (decision.mAction == RoomAction::Send) {
    return boost::outcome_v2::success();
  }
  aDependencies.mMetrics.CountDenial(ReasonOf(state, decision));
  return Refusal{ RefusalKind::Overloaded,
                  MessageOf(state, decision),
                  Ran::No,
                  static_cast<uint32_t>(decision.mRetryAfter.count()) };
}

} // namespace hibiscushold
