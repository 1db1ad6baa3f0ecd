#pragma once

#include "core/http.h"
#include "core/sessionpool.h"
#include "fleet/choice.h"
#include "fleet/loads.h"
#include "gateway/dialect.h"

#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// How one try at one target ended.
enum class ExchangeEnd
{
  Answered,      ///< the whole answer was received, or passed on as a stream
  NotRun,        ///< the target says that it did not run the request
  WrongVm,       ///< another VM has the address; the request did not run
  ConnectFailed, ///< nothing was sent
  Broken,        ///< the connection failed or the answer was cut off
  Invalid,       ///< the bytes are no valid answer to this request
  Stalled,       ///< the target stood still and was given up
  Deadline,      ///< the time of the request is over
  CallerGone,
};

/// @return the stable name of the end
const char*
NameOf(ExchangeEnd aEnd);

/// One try of a request.
struct ExchangeRequest
{
  const FleetTarget& mTarget;
  std::string mMethod;
  std::string mUri;
  std::vector<HttpField> mFields; ///< all but those of the connection
  std::string_view mBody;
  std::string mRequestId;
  TimePoint mDeadline; ///< of the whole request
  TimePoint mGiveUpAt; ///< a plain answer is waited for until here
  milliseconds mConnectLimit{ 150 };
  uint64_t mLastEvent = 0; ///< id of the last event that was passed on
  bool mFresh = false;     ///< takes no connection from the pool
  bool mStream = false;    ///< an event stream is expected
  uint32_t mPromptTokens = 0;
};

/// A whole answer that is not a stream.
struct PlainReply
{
  int mStatus = 0;
  std::vector<HttpField> mFields; ///< all but those of the connection
  std::string mBody;
};

/// What is known after a try.
struct ExchangeReport
{
  ExchangeEnd mEnd = ExchangeEnd::ConnectFailed;
  PlainReply mReply;         ///< for Answered, unless it was a stream
  bool mStreamed = false;    ///< events were passed on
  Duration mFirstWait{ 0 };  ///< from the send to the first event
  Duration mLongestGap{ 0 }; ///< between events
  bool mReused = false;      ///< the connection came from the pool
  uint64_t mLastEvent = 0;   ///< id of the last event that was passed on
  uint64_t mSentBytes = 0;   ///< zero: the target cannot have run the request
  std::string mDetail;
};

/// Takes the events of a stream as they arrive.
class StreamSink
{
public:
  virtual ~StreamSink() = default;

  /// Called before the first event of a try with the head of its answer.
  /// @return false when the caller is gone
  virtual bool OnHead(int aStatus, const std::vector<HttpField>& aFields) = 0;

  /// @param aEvents whole events
  /// @return false when the caller is gone
  virtual bool OnEvents(std::string_view aEvents) = 0;

  virtual bool IsCallerGone() = 0;
};

/// What an exchange needs of the node.
struct ExchangeParts
{
  SessionPool& mPool;
  TargetLoads& mLoads;
  const Dialect& mDialect;
  const Clock& mClock;
};

/// Sends a request to its target and receives the answer. A connection is kept
/// only after a whole answer of its own, and closed in every other case.
ExchangeReport
RunExchange(const ExchangeParts& aParts,
            const ExchangeRequest& aRequest,
            StreamSink& aSink);

/// @return whether the field concerns one connection only and is not forwarded
bool
IsConnectionField(std::string_view aName);

} // namespace hibiscushold
