#pragma once

#include "core/http.h"
#include "core/nestedattempt.h"
#include "core/sessionpool.h"
#include "serve/attemptoutcome.h"
#include "serve/request.h"

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
  /// From when on a target without a response header counts as silent, if a
  /// stream is expected or the connection is reused; zero means never. A target
  /// that computes an ordinary response on a new connection never does.
  Duration mFirstByteTimeout{ 0 };
  /// From when on a target counts as silent within a stream; zero means never.
  Duration mEventTimeout{ 0 };
};

/// The result of an attempt.
struct AttemptReport
{
  AttemptOutcome mOutcome = AttemptOutcome::ConnectFailed;
  BufferedResponse mResponse;    ///< for Answered, unless it was streamed
  bool mStreamed = false;        ///< the response is an event stream
  bool mReused = false;          ///< the connection came from the pool
  uint64_t mEventsForwarded = 0; ///< events passed to the sink
  std::string mDetail;
};

/// Names of the headers exchanged between nodes and targets.
inline constexpr const char* kAttemptIdField = "X-Attempt-Id";
inline constexpr const char* kGenerationField = "X-Generation";
inline constexpr const char* kRanField = "X-Ran";
inline constexpr const char* kResumeField = "X-Resume-From";
inline constexpr const char* kTimeLeftField = "X-Time-Left-Ms";

/// An attempt that waits for its silent target while another attempt of the
/// same request runs.
class WaitingAttempt : public WaitingTransfer
{
public:
  /// @return whether the connection came from the pool
  virtual bool IsReused() const = 0;
};

/// Receives the events of one attempt, and decides how long it waits for a
/// silent target.
class AttemptSink : public EventSink
{
public:
  /// Called at intervals while the target is silent; may run another attempt.
  /// @return whether another attempt has taken over, which ends this one
  virtual bool OnSilence(WaitingAttempt& aAttempt) = 0;

  /// Called at intervals until the first event.
  /// @return whether the attempt that this one was to replace has made
  ///         progress, which ends this one
  virtual bool IsSuperseded() = 0;
};

/// Runs one attempt. A silent target doesn't end it by itself; only the
/// deadline, the caller, the sink or the target does. The connection returns to
/// the pool only after a complete response with this attempt's id; otherwise it
/// is closed.
/// @param aSink receives the events when the target answers with a stream
AttemptReport
RunAttempt(SessionPool& aPool,
           const Clock& aClock,
           const AttemptRequest& aRequest,
           AttemptSink& aSink);

} // namespace hibiscushold
