#pragma once

#include "core/clock.h"
#include "rules/rules.h"

#include <cstdint>
#include <optional>

namespace hibiscushold {

/// Why a request was not admitted.
enum class DenyReason
{
  AccountRate,        ///< the account exceeds its request rate
  AccountConcurrency, ///< too many of the account's requests run already
  QueueFull,          ///< the queue has no room for another request
  Shed, ///< dropped from the full queue for a higher class or smaller account
  TooLate, ///< can't complete before its deadline
};

/// @return the stable name of the reason, such as "account_rate"
const char*
NameOf(DenyReason aReason);

/// Describes a request that was not admitted and did not run.
struct Denial
{
  DenyReason mReason = DenyReason::QueueFull;
  Duration mRetryAfter{};
};

/// Token bucket of a rate limit. A new bucket is full.
struct TokenBucket
{
  double mSpent = 0; ///< tokens missing at mUpdatedAt
  TimePoint mUpdatedAt;
};

/// Takes one token if one is available.
/// @param aRate tokens added per second
/// @param aBurst tokens in a full bucket
/// @return nothing if a token was taken, otherwise the time until one is
///         available
std::optional<Duration>
TakeToken(TokenBucket& aBucket, double aRate, double aBurst, TimePoint aNow);

/// Demand of one account against one of its limits, on this node and in total.
struct Demand
{
  double mLocal = 0;
  double mTotal = 0;   ///< over all live members, including mLocal
  size_t mMembers = 1; ///< number of live members, including this node
};

/// Divides a limit among the live members. If the limit covers the total
/// demand, each member gets its own demand plus an equal part of the remainder;
/// otherwise each gets a part in proportion to its demand. Either way the parts
/// add up to the limit.
/// @return this member's part
double
LocalLimit(double aLimit, const Demand& aDemand);

/// Divides a concurrency limit as LocalLimit does and rounds this member's part
/// to whole requests. While the total demand is well below the limit the part
/// is rounded up, so that a member without demand can accept its first request.
/// @return how many requests may run concurrently on this member
uint32_t
LocalConcurrencyLimit(uint32_t aLimit, const Demand& aDemand);

/// Service time of requests to one pool of targets.
struct ServiceTime
{
  Duration mMean{}; ///< exponential moving average
  Duration mMin{};  ///< minimum that rises slowly towards later samples
};

/// Adds the service time of one completed request.
/// @return the updated statistics
ServiceTime
AddSample(const ServiceTime& aTime, Duration aSample);

/// Load of one pool of targets at the arrival of a request.
struct PoolState
{
  uint32_t mRunning = 0;
  uint32_t mCapacity = 0; ///< requests that this node may run concurrently
  size_t mAhead = 0;      ///< queued requests that will start before this one
  size_t mWaiting = 0;    ///< all queued requests
  size_t mQueueBound = 0; ///< maximum number of queued requests
  ServiceTime mService;
};

/// What to do with a request that arrives.
enum class AdmissionAction
{
  Start,
  Wait,
  WaitAndShed, ///< the queue is full; one queued request must be dropped
  Deny,
};

struct AdmissionDecision
{
  AdmissionAction mAction = AdmissionAction::Start;
  Denial mDenial; ///< set for Deny only
};

/// Decides whether a request starts, waits or is denied. It is denied if its
/// expected start is too late to complete before the deadline.
AdmissionDecision
DecideAdmission(const PoolState& aState, TimePoint aDeadline, TimePoint aNow);

/// @return the latest time at which a request can start and still complete
///         before its deadline, assuming a short service time
TimePoint
LatestStart(const ServiceTime& aServiceTime, TimePoint aDeadline);

/// Times that decide how long a request may stay in the queue.
struct QueueTimes
{
  TimePoint mArrivedAt;
  TimePoint mNonEmptySince; ///< the queue has not been empty since
  bool mSaturated = true;   ///< a target's limit has been lowered before
};

/// Computes how long a request may stay in the queue. A queue that does not
/// drain for a while in front of saturated targets means overload rather than a
/// burst or a concurrency limit that is still growing. In that case a request
/// waits for about one mean service time, but no longer than a quarter of the
/// time between its arrival and its deadline, so that it is refused while its
/// caller can still send it elsewhere.
/// @return when a queued request is denied as too late
TimePoint
QueueDeadline(const ServiceTime& aServiceTime,
              const QueueTimes& aTimes,
              TimePoint aDeadline);

/// @param aAhead number of requests to run first
/// @return expected time until a request behind aAhead others starts
Duration
ExpectedWait(const PoolState& aState, size_t aAhead);

} // namespace hibiscushold
