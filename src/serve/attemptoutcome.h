#pragma once

#include "serve/refusal.h"

#include <cstdint>

namespace hibiscushold {

/// Outcome of an attempt.
enum class AttemptOutcome
{
  Answered,      ///< complete response or complete stream
  ConnectFailed, ///< no byte was sent
  TargetRefused, ///< the target reports that it did not run the request
  Broken,        ///< the connection failed after a byte was sent
  TimedOut,      ///< the deadline passed
  IdleTimeout,   ///< the target was silent, and another attempt took over
  Truncated,     ///< the response was incomplete or too large
  Mismatched,    ///< the response does not carry this attempt's id
  CallerDisconnected,
  NotResumed, ///< the target did not resume a broken stream as requested
  Superseded, ///< the attempt it was to replace made progress first
};

/// Why the transfer of an attempt stopped.
enum class AttemptStop
{
  None,        ///< it completed
  Failed,      ///< the connection failed or ended too early
  Deadline,    ///< the deadline passed
  IdleTimeout, ///< the target was silent, and another attempt took over
  Superseded,  ///< the attempt it was to replace made progress first
  CallerDisconnected,
  TooLarge, ///< the response exceeded its size limit
};

/// What was observed of the transfer of one attempt.
struct AttemptFacts
{
  uint64_t mBytesSent = 0;           ///< passed to the operating system
  bool mHeaderRead = false;          ///< the response header was received
  bool mIdMatches = false;           ///< it carries this attempt's id
  bool mHasNotRunMark = false;       ///< it states that the request did not run
  bool mIsResumedAsRequested = true; ///< also if no resume was requested
  bool mIsComplete = false;          ///< the body was received completely
  AttemptStop mStop = AttemptStop::None;
};

/// Classifies an attempt. All code must use this function for that, so that the
/// rules are in one place.
AttemptOutcome
ClassifyAttempt(const AttemptFacts& aFacts);

/// Decides whether an attempt ran at the target. All code must use this
/// function for that, so that the rules are in one place.
Ran
RanAfter(AttemptOutcome aOutcome);

/// Combined effect of the attempts of one request so far.
struct RequestProgress
{
  bool mMayHaveRun = false;
  uint64_t mEventsForwarded = 0; ///< to the caller

  /// @return whether the request ran, if no further attempt is made
  Ran WhetherRan() const { return mMayHaveRun ? Ran::Unknown : Ran::No; }
};

/// Adds one attempt without a usable response. Once one attempt may have run, a
/// later attempt that certainly did not run does not change that.
void
AddAttempt(RequestProgress& aProgress,
           AttemptOutcome aOutcome,
           uint64_t aEventsForwarded);

/// @return the stable name of the outcome in logs and metrics, such as
///         "connect_failed". IdleTimeout is "silent", Mismatched is "crossed"
///         and CallerDisconnected is "caller_gone".
const char*
NameOf(AttemptOutcome aOutcome);

} // namespace hibiscushold
