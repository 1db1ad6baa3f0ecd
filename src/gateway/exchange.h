#pragma once

#include "core/bytebudget.h"
#include "core/http.h"
#include "core/nestedattempt.h"
#include "core/sessionpool.h"
#include "fleet/reach.h"
#include "fleet/targetchoice.h"
#include "fleet/targetloads.h"
#include "gateway/protocolnames.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Outcome of one attempt at one target.
enum class ExchangeOutcome
{
  Answered, ///< the complete response was received, or forwarded as a stream
  NotRun,   ///< the target reported that it did not run the request
  WrongVm,  ///< another VM has the target's address; the request did not run
  ConnectFailed, ///< no connection; nothing was sent
  Unsendable,    ///< the head can't be written; nothing was sent
  Broken,        ///< the connection failed or the response was truncated
  Invalid,       ///< the response is malformed or belongs to another request
  Stalled,       ///< the target made no progress, and another one took over
  Superseded,    ///< the target it was to replace made progress first
  Quarantined,   ///< such requests have crashed targets since it was sent
  Stopping,      ///< this node is about to exit
  Deadline,      ///< the deadline of the request passed
  CallerDisconnected,
};

/// @return the stable name of the outcome, for logs and metrics
const char*
NameOf(ExchangeOutcome aOutcome);

/// One attempt to send a request to a target.
struct ExchangeRequest
{
  const FleetTarget& mTarget;
  std::string mMethod;
  std::string mUri;
  std::vector<HttpField> mFields; ///< without hop-by-hop headers
  std::string_view mBody;
  std::string mRequestId;
  TimePoint mDeadline; ///< of the whole request, over all attempts
  /// From then on the target counts as stalled, whatever its load.
  TimePoint mStalledAt;
  milliseconds mConnectTimeout{ 150 };
  uint64_t mLastEvent = 0; ///< id of the last event already forwarded
  bool mNewConnection =
    false;              ///< opens a new connection instead of a pooled one
  bool mStream = false; ///< an event stream is expected
  uint32_t mPromptTokens = 0;
  /// Silence of the target before the start of the exchange doesn't count.
  bool mIgnoresEarlierSilence = false;
  /// The response is for another node, and names the target (kTargetField).
  bool mNamesTarget = false;
  bool mIsDelayed = false; ///< the target serves others first
  /// A response whose end only the connection marks is none.
  bool mNeedsMarkedEnd = false;
};

/// A complete response that is not an event stream.
struct TargetResponse
{
  int mStatus = 0;
  std::vector<HttpField> mFields; ///< without hop-by-hop headers
  std::string mBody;
  BudgetedBytes mHeldBytes; ///< for the body
};

/// Result of one attempt.
struct ExchangeReport
{
  ExchangeOutcome mOutcome = ExchangeOutcome::ConnectFailed;
  TargetResponse mResponse; ///< for Answered and NotRun; no body if streamed
  bool mStreamed = false;   ///< a stream was forwarded to the caller
  Duration mTimeToFirstEvent{ 0 };   ///< from the start of the attempt
  std::optional<TimePoint> mBeganAt; ///< when the head of a response arrived
  Duration mLongestEventGap{ 0 };    ///< between two events
  bool mReused = false;              ///< the connection came from the pool
  uint64_t mLastEvent = 0; ///< id of the last event that was forwarded
  uint64_t mSentBytes = 0; ///< zero: the target cannot have run the request
  /// The end of the connection alone would not have ended the response.
  bool mMarksItsEnd = false;
  std::optional<BodyFraming> mFraming; ///< of the response, once it has begun
  uint64_t mBodyBytes = 0;             ///< received of the response's body
  bool mWasStalled = false; ///< another attempt may have run beside this one
  std::string mDetail;      ///< what went wrong, for the log
};

/// @return whether a byte of the request may have reached the target
bool
WasSent(const ExchangeReport& aReport);

/// Receives the events of a stream as they arrive, and decides how long an
/// exchange waits for its target.
class StreamSink
{
public:
  virtual ~StreamSink() = default;

  /// Called once per attempt with the response head, before its first event.
  /// @return false if the caller has disconnected
  virtual bool OnHead(int aStatus, const std::vector<HttpField>& aFields) = 0;

  /// @param aEvents one or more complete events
  /// @param aLastId id of the last of them
  /// @return false if the caller has disconnected
  virtual bool OnEvents(std::string_view aEvents, uint64_t aLastId) = 0;

  virtual bool IsCallerDisconnected() = 0;

  /// Called at intervals while the target is stalled; may run another attempt.
  /// @return whether another target has taken over, which ends this exchange
  virtual bool OnStall(WaitingTransfer& aExchange) = 0;

  /// Called at intervals until the first event.
  /// @return whether the target that this attempt was to replace has made
  ///         progress, which ends this exchange
  virtual bool IsSuperseded() = 0;

  /// Called at intervals until the first event.
  /// @return whether the request is no longer to reach a target, which ends
  ///         this exchange
  virtual bool IsQuarantined() = 0;

  /// Called at intervals until the first event.
  /// @return whether this node is about to exit, which ends this exchange while
  ///         the caller can still be told
  virtual bool IsNodeExiting() = 0;
};

/// Dependencies of an exchange.
struct ExchangeDependencies
{
  SessionPool& mPool;
  TargetLoads& mLoads;
  ByteBudget& mBuffers; ///< for what is received and not yet forwarded
  TargetReach& mReach;
  const ProtocolNames& mProtocol;
  const Clock& mClock;
};

/// Sends a request to its target and receives the response. The connection goes
/// back to the pool only after a complete response to this request; otherwise
/// it is closed. A silent target doesn't end the exchange by itself; only the
/// deadline, the caller or the sink does.
ExchangeReport
RunExchange(const ExchangeDependencies& aDependencies,
            const ExchangeRequest& aRequest,
            StreamSink& aSink);

/// @return whether the header applies to one connection only (hop-by-hop) or
///         describes its framing, and is therefore not forwarded
bool
IsConnectionField(std::string_view aName);

} // namespace hibiscushold
