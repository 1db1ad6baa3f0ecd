#pragma once

#include "core/sessionpool.h"
#include "observe/metrics.h"
#include "route/admissioncontroller.h"
#include "route/inflight.h"
#include "route/retry.h"
#include "route/targetfinder.h"
#include "serve/attempt.h"
#include "serve/claimstore.h"
#include "serve/request.h"

#include <string>

namespace hibiscushold {

/// Sends a request to a target and returns the response, with retries on other
/// targets. Safe for several threads.
class Dispatcher
{
public:
  struct Dependencies
  {
    AdmissionController& mAdmission;
    const TargetFinder& mTargets;
    TargetLimits& mLimits;
    HealthTable& mHealth;
    RetryBudgets& mRetries;
    SessionPool& mSessions;
    InFlightTable& mInFlight;
    ClaimStore& mClaims;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  /// From when on a target that sends nothing counts as silent. Its request is
  /// then tried elsewhere as well, if that is allowed; it stays with the silent
  /// target until another one answers.
  struct Timeouts
  {
    Duration mFirstByteTimeout; ///< for the response header of a stream, and
                                ///< on a reused connection
    Duration mEventTimeout;     ///< between the events of a stream
  };

  Dispatcher(Dependencies aDependencies, Timeouts aTimeouts);

  /// The response to a caller. A streamed one has been passed to the sink.
  struct Response
  {
    bool mStreamed = false;
    BufferedResponse mBuffered;
  };

  /// Runs the request, with retries if its policy allows them. Blocks until the
  /// response is complete.
  /// @param aSink receives the events of a streamed response
  /// @return the response, or why the request was refused
  ResultOrRefusal<Response> Run(const CallerRequest& aRequest,
                                EventSink& aSink);

private:
  ResultOrRefusal<Response> RunAdmitted(const CallerRequest& aRequest,
                                        EventSink& aSink);
  ResultOrRefusal<Response> RunAtMostOnce(const CallerRequest& aRequest,
                                          EventSink& aSink);

  Dependencies mDependencies;
  const Timeouts mTimeouts;
};

} // namespace hibiscushold
