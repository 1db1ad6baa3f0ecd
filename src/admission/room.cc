#include "admission/room.h"

#include <algorithm>

namespace hibiscushold {

namespace {

/// A queue that more urgent requests can wait through takes at most this part
/// of their latency target.
constexpr double kUrgentTargetFraction = 0.7;
/// An account above its share gets room only up to this part of the limit.
constexpr double kShareFraction = 0.7;
/// Some requests are always sent, so that a forecast that is too long corrects
/// itself.
constexpr double kMaxRefusal = 0.8;
/// Bounds of the time after which a refused request comes back.
constexpr auto kMinReturn = milliseconds(400);
constexpr auto kMaxReturn = milliseconds(2500);
/// Callers wait before they come back for at most this part of the time left.
constexpr int kReturnDivisor = 3;

double
MillisUntil(TimePoint aTime, TimePoint aNow)
{
  return std::chrono::duration<double, std::milli>(aTime - aNow).count();
}

/// Spreads the returns, those of urgent requests into the earlier half.
milliseconds
ReturnAfter(const RequestTerms& aTerms,
            const RoomState& aState,
            TimePoint aNow,
            double aFraction)
{
  const auto longest = std::min<milliseconds>(
    kMaxReturn,
    milliseconds(ToMillis(TimeLeft(aTerms.mDeadline, aNow)) / kReturnDivisor));
  const milliseconds shortest = std::max(kMinReturn, longest / 2);
  const auto spread = std::max(longest - shortest, milliseconds(0));
  const double place = aState.mUrgentTarget ? (1 + aFraction) / 2 : aFraction;
  const milliseconds after =
    shortest + std::chrono::duration_cast<milliseconds>(spread * place);
  return std::min(after, longest);
}

} // namespace

RoomDecision
DecideRoom(const RequestTerms& aTerms,
           const RoomState& aState,
           TimePoint aNow,
           double aFraction)
{
  RoomDecision decision;
  decision.mLimitMillis = std::max(0.0, MillisUntil(aTerms.mOnTimeUntil, aNow));
  if (aState.mUrgentTarget) {
    const double urgent = static_cast<double>(aState.mUrgentTarget->count());
    decision.mLimitMillis =
      std::min(decision.mLimitMillis, urgent * kUrgentTargetFraction);
  }
  if (aState.mIsAboveShare) {
    decision.mLimitMillis *= kShareFraction;
  }
  if (aState.mFirstEventMillis <= decision.mLimitMillis) {
    return decision;
  }
  decision.mAction = RoomAction::Delay;
  const double patience = std::max(0.0, MillisUntil(aTerms.mGivesUpAt, aNow));
  if (aState.mDelayedMillis <= patience) {
    return decision;
  }
  const double chance =
    std::min(kMaxRefusal, 1 - patience / aState.mDelayedMillis);
  if (aFraction < chance) {
    decision.mAction = RoomAction::Refuse;
    // The fractions of refused requests are below the chance.
    decision.mRetryAfter =
      ReturnAfter(aTerms, aState, aNow, aFraction / chance);
  }
  return decision;
}

} // namespace hibiscushold
