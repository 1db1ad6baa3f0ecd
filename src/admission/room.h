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
  /// Shortest latency target of more urgent requests of the same model, if
  /// there are any.
  std::optional<milliseconds> mUrgentTarget;
  /// The request's account takes much more than its usual share.
  bool mIsAboveShare = false;
};

enum class RoomAction
{
  Send,
  /// There is too little room now; the caller is to come back.
  Defer,
  /// The caller would have given up before the first event.
  Refuse,
};

struct RoomDecision
{
  RoomAction mAction = RoomAction::Send;
  double mLimitMillis = 0; ///< longest wait at which it would surely be sent
  milliseconds mRetryAfter{ 0 }; ///< unless it is sent
};

/// Decides whether a request gets room. Requests that would be on time go
/// first. What would be late delays others for nothing, so its caller is asked
/// to come back when there is more room: less urgent requests first, as more
/// urgent ones need a shorter queue, then those of accounts that take more than
/// their share, then those with the most work. A request that has come back as
/// it was asked to is sent, as long as its caller waits.
/// @param aFraction random, at least 0 and less than 1; all nodes see about the
///        same waits, and must not all defer or send at the same moment
RoomDecision
DecideRoom(const RequestTerms& aTerms,
           const RoomState& aState,
           TimePoint aNow,
           double aFraction);

} // namespace hibiscushold
