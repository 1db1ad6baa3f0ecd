#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <tuple>

namespace hibiscushold {

/// How urgent a request is: by its account, then by its route; 0 goes first.
struct Urgency
{
  uint32_t mAccount = 0;
  uint32_t mRoute = 0;

  bool operator<(const Urgency& aOther) const
  {
    return std::tie(mAccount, mRoute) <
           std::tie(aOther.mAccount, aOther.mRoute);
  }
};

/// What a caller needs of a request.
struct RequestTerms
{
  Urgency mUrgency;
  TimePoint mOnTimeUntil; ///< latest time of a first event that is on time
  TimePoint mGivesUpAt;   ///< the caller waits no longer for a first event
  TimePoint mDeadline;    ///< of the whole response
  TimePoint mFirstSentAt; ///< the caller's first attempt
  TimePoint mArrivedAt;   ///< this attempt
};

/// What a node knows of the room for a request.
struct RoomState
{
  double mFirstEventMillis = 0; ///< expected wait for a first event
  /// The same if the target serves those first that can be on time.
  double mDelayedMillis = 0;
  /// Shortest latency target of more urgent requests of the same model, if
  /// there are any.
  std::optional<milliseconds> mUrgentTarget;
  /// The request's account takes much more than its usual share.
  bool mIsAboveShare = false;
};

enum class RoomAction
{
  Send,
  Delay,  ///< sent, but the target serves others first
  Refuse, ///< its caller would give up before the first event
};

struct RoomDecision
{
  RoomAction mAction = RoomAction::Send;
  double mLimitMillis = 0;       ///< longest wait at which it is not delayed
  milliseconds mRetryAfter{ 0 }; ///< unless it is sent
};

/// Decides whether a request gets room. One that would be on time goes first.
/// One that would be late would delay others for nothing, so it waits until the
/// target has nothing better to do: less urgent requests first, as more urgent
/// ones need a shorter queue, then those of accounts that take more than their
/// share, then those with the most work. One that could not be served before
/// its caller gives up is refused at once.
/// @param aFraction random, at least 0 and less than 1; all nodes see about the
///        same waits, and must not all refuse or send at the same moment
RoomDecision
DecideRoom(const RequestTerms& aTerms,
           const RoomState& aState,
           TimePoint aNow,
           double aFraction);

} // namespace hibiscushold
