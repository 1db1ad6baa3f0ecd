#include "serve/attemptoutcome.h"

#include <array>

namespace hibiscushold {

AttemptOutcome
ClassifyAttempt(const AttemptFacts& aFacts)
{
  if (aFacts.mHeaderRead && !aFacts.mIdMatches) {
    return AttemptOutcome::Mismatched;
  }
  if (aFacts.mHeaderRead && aFacts.mHasNotRunMark) {
    return AttemptOutcome::TargetRefused;
  }
  if (aFacts.mHeaderRead && !aFacts.mIsResumedAsRequested) {
    return AttemptOutcome::NotResumed;
  }
  if (aFacts.mHeaderRead && aFacts.mIsComplete) {
    return AttemptOutcome::Answered;
  }
  if (aFacts.mBytesSent == 0) {
    return AttemptOutcome::ConnectFailed;
  }
  switch (aFacts.mStop) {
    case AttemptStop::CallerDisconnected:
      return AttemptOutcome::CallerDisconnected;
    case AttemptStop::Deadline:
      return AttemptOutcome::TimedOut;
    case AttemptStop::IdleTimeout:
      return AttemptOutcome::IdleTimeout;
    case AttemptStop::Superseded:
      return AttemptOutcome::Superseded;
    case AttemptStop::None:
    case AttemptStop::Failed:
    case AttemptStop::TooLarge:
      break;
  }
  return aFacts.mHeaderRead ? AttemptOutcome::Truncated
                            : AttemptOutcome::Broken;
}

Ran
RanAfter(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      return Ran::Yes;
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::TargetRefused:
      return Ran::No;
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::IdleTimeout:
    case AttemptOutcome::Truncated:
    case AttemptOutcome::Mismatched:
    case AttemptOutcome::CallerDisconnected:
    case AttemptOutcome::NotResumed:
    case AttemptOutcome::Superseded:
      break;
  }
  return Ran::Unknown;
}

void
AddAttempt(RequestProgress& aProgress,
           AttemptOutcome aOutcome,
           uint64_t aEventsForwarded)
{
  aProgress.mMayHaveRun =
    aProgress.mMayHaveRun || RanAfter(aOutcome) != Ran::No;
  aProgress.mEventsForwarded += aEventsForwarded;
}

const char*
NameOf(AttemptOutcome aOutcome)
{
  constexpr std::array<const char*, 11> kNames = {
    "answered",    "connect_failed", "target_refused", "broken",
    "timed_out",   "silent",         "truncated",      "crossed",
    "caller_gone", "not_resumed",    "superseded"
  };
  return kNames[static_cast<size_t>(aOutcome)];
}

} // namespace hibiscushold
