#pragma once

#include "core/http.h"
#include "core/sessionpool.h"
#include "serve/attemptoutcome.h"
#include "serve/request.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// One attempt to have one target answer a request.
struct AttemptRequest
{
  Endpoint mTarget;
  std::string mMethod;
  std::string mPath;
  std::vector<HttpField> mFields;
  std::string_view mBody;
  std::string mAttemptId; ///< the target must repeat it in its response
  TimePoint mDeadline;
  bool mNewConnection = false; ///< opens a connection instead of reusing one
  bool mCancelOnDisconnect = false; ///< stops when the caller disconnects
  bool mExpectStream = false;       ///< an event stream is expected
  uint64_t mResumeFrom = 0;         ///< events already sent to the caller
  /// Longest wait for the response header if a stream is expected or the
  /// connection is reused; zero means no limit. An ordinary response on a new
  /// connection is limited by the deadline only.
  Duration mFirstByteTimeout{ 0 };
  Duration mEventTimeout{ 0 }; ///< longest wait within a stream; zero: no limit
};

/// The result of an attempt.
struct AttemptReport
{
  AttemptOutcome mOutcome = AttemptOutcome::ConnectFailed;
  BufferedResponse mResponse;    ///< for Answered, unless it was streamed
  bool mStreamed = false;        ///< the response is an event stream
  bool mReused = false;          ///< the connection came from the pool
  bool mReconnected = false;     ///< sent again on a second connection; the
                                 ///< target may have run it from the first
  uint64_t mEventsForwarded = 0; ///< events passed to the sink
  std::string mDetail;
};

/// Names of the headers exchanged between nodes and targets.
inline constexpr const char* kAttemptIdField = "X-Attempt-Id";
inline constexpr const char* kGenerationField = "X-Generation";
inline constexpr const char* kRanField = "X-Ran";
inline constexpr const char* kResumeField = "X-Resume-From";
inline constexpr const char* kTimeLeftField = "X-Time-Left-Ms";

/// Runs one attempt. The connection returns to the pool only after a complete
/// response with this attempt's id; otherwise it is closed.
/// @param aSink receives the events when the target answers with a stream
AttemptReport
RunAttempt(SessionPool& aPool,
           const Clock& aClock,
           const AttemptRequest& aRequest,
           EventSink& aSink);

/// Runs one attempt of an idempotent request. If a reused connection breaks or
/// stays idle for too long before the first event, the connection rather than
/// the target may be at fault. The pool's idle connections to the target are
/// then closed, and the request is sent once more on a new connection.
/// @param aTakeRetry called before the second connection; takes one retry from
///        the budget and returns whether there was one
AttemptReport
RunWithReconnect(SessionPool& aPool,
                 const Clock& aClock,
                 const AttemptRequest& aRequest,
                 EventSink& aSink,
                 const std::function<bool()>& aTakeRetry);

} // namespace hibiscushold
