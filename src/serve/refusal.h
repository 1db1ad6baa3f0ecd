#pragma once

#include "core/errors.h"

#include <cstdint>
#include <string>

namespace hibiscushold {

/// Whether a refused request ran at a target.
enum class Ran
{
  No,      ///< it certainly did not
  Yes,     ///< it ran, for an earlier request with the same key
  Unknown, ///< a byte may have reached a target
};

/// Why a request was not answered; each kind has one HTTP status.
enum class RefusalKind
{
  InvalidRequest,
  Unauthorized,
  NoRoute,
  Duplicate,
  OutcomeUnknown,
  AlreadyRan,
  BodyTooLarge,
  RateLimited,
  TargetFailed,
  NoTarget,
  StoreUnavailable,
  Overloaded,
  Stopping,
  DeadlinePassed,
  ConfigNotFresh,      ///< the active rules may be out of date
  ConfigChangePending, ///< a pending change of the rules affects the request
  Quarantined,         ///< such requests have crashed targets
  PeerRefused,         ///< what another node says of the request isn't believed
  HeadTooLarge,        ///< the head of the request exceeds its limit
};

/// Error response to a caller.
struct Refusal
{
  RefusalKind mKind = RefusalKind::InvalidRequest;
  std::string mMessage;
  Ran mRan = Ran::No;
  uint32_t mRetryAfterMillis = 0; ///< 0 if a retry does not help
};

/// A value of T or a Refusal.
template<class T>
using ResultOrRefusal = boost::outcome_v2::
  basic_result<T, Refusal, boost::outcome_v2::policy::all_narrow>;

/// @return the HTTP status of the kind
int
StatusOf(RefusalKind aKind);

/// @return the stable name of the kind, such as "no_target";
///         ConfigChangePending is "config_undecided"
const char*
NameOf(RefusalKind aKind);

/// @return "no", "yes" or "unknown"
const char*
NameOf(Ran aRan);

/// @return the JSON body that describes the refusal
std::string
RenderRefusal(const Refusal& aRefusal);

} // namespace hibiscushold
