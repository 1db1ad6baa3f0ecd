#include "gateway/exchange.h"

#include "core/bodyreader.h"
#include "core/headtext.h"
#include "gateway/announcements.h"
#include "gateway/eventsplitter.h"
#include "gateway/peers.h"
#include "gateway/progress.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <optional>

namespace hibiscushold {

namespace {

constexpr size_t kMaxResponseBytes = 16000000;
constexpr size_t kMaxEventBytes = 1000000;
/// Unread bytes of a response that are examined for progress.
constexpr size_t kMaxPeekedBytes = 4096;
/// Responses to earlier requests that are skipped before the expected one.
constexpr int kMaxStaleResponses = 2;

/// Counts the request in the load of its target during its own lifetime.
class InFlightEntry
{
public:
  InFlightEntry(const ExchangeDependencies& aDependencies,
                const ExchangeRequest& aRequest)
    : mDependencies(aDependencies)
    , mTarget(aRequest.mTarget.mVmId)
    , mTokens(aRequest.mPromptTokens)
    , mIsDelayed(aRequest.mIsDelayed)
  {
    mDependencies.mLoads.Begin(
      mTarget, mDependencies.mClock.Now(), mTokens, mIsDelayed);
  }

  ~InFlightEntry()
  {
    mDependencies.mLoads.End(
      mTarget, mStreaming, mDependencies.mClock.Now(), mTokens, mIsDelayed);
  }

  InFlightEntry(const InFlightEntry&) = delete;
  InFlightEntry& operator=(const InFlightEntry&) = delete;

  bool mStreaming = false;

private:
  const ExchangeDependencies& mDependencies;
  const std::string mTarget;
  const uint64_t mTokens;
  const bool mIsDelayed;
};

/// State of one exchange.
class Exchange final : public WaitingTransfer
{
public:
  Exchange(const ExchangeDependencies& aDependencies,
           const ExchangeRequest& aRequest,
           StreamSink& aSink)
    : mDependencies(aDependencies)
    , mRequest(aRequest)
    , mSink(aSink)
    , mStartedAt(aDependencies.mClock.Now())
    , mInFlightEntry(std::in_place, aDependencies, aRequest)
  {
    mReport.mLastEvent = aRequest.mLastEvent;
    mAwaited.mIdField = aDependencies.mProtocol.mRequestId;
    mAwaited.mRequestId = aRequest.mRequestId;
    mAwaited.mStream = aRequest.mStream;
    mAwaited.mIsBodyless = aRequest.mMethod == "HEAD";
  }

  ExchangeReport Run()
  {
    const Result<std::string> head = MakeHead();
    if (!head) {
      SetOutcome(ExchangeOutcome::Unsendable, Describe(head.error()));
      return std::move(mReport);
    }
    if (!OpenSession()) {
      return std::move(mReport);
    }
    try {
      mSentCompletely = mSession->SendRaw(head.value());
      mSentCompletely = mSentCompletely && mSession->SendRaw(mRequest.mBody);
      ReceiveResponse();
    } catch (const Poco::Exception& e) {
      SetOutcome(ClassifyFailure(e), e.displayText());
    }
    mReport.mSentBytes = mSession ? mSession->Guard().SentBytes() : 1;
    return std::move(mReport);
  }

  bool HasProgress() const override
  {
    std::array<char, kMaxPeekedBytes> buf;
    const std::optional<std::string_view> unread = mSession->PeekRaw(buf);
    if (!unread) {
      return false;
    }
    if (unread->empty()) {
      return mAwaited.mMayEnd;
    }
    return IsProgress(
      mSession->PartialHead(), *unread, unread->size() == buf.size(), mAwaited);
  }

  void Close() override
  {
    mInFlightEntry.reset();
    mSession->reset();
  }

private:
  bool OpenSession()
  {
    const Endpoint& address = mRequest.mTarget.mAddress;
    mSession = mRequest.mNewConnection
                 ? mDependencies.mPool.CreateSession(address)
                 : mDependencies.mPool.Acquire(address);
    mReport.mReused = mSession->connected();
    const Duration remaining =
      TimeLeft(mRequest.mDeadline, mDependencies.mClock.Now());
    const Result<void> opened =
      Connect(*mSession,
              address,
              std::min<Duration>(remaining, mRequest.mConnectTimeout));
    if (!opened) {
      mDependencies.mReach.RecordConnectFailure(mRequest.mTarget.mVmId,
                                                mDependencies.mClock.Now());
      SetOutcome(ExchangeOutcome::ConnectFailed, Describe(opened.error()));
      return false;
    }
    mDependencies.mReach.RecordSent(mDependencies.mClock.Now());
    TransferLimiter& limiter = mSession->Guard();
    limiter.ResetSent();
    limiter.SetDeadline(mRequest.mDeadline);
    limiter.SetCallerCheck([this] { return mSink.IsCallerDisconnected(); });
    limiter.SetAbandonCheck([this] { return IsAbandoned(); });
    return true;
  }

  bool IsAbandoned()
  {
    if (!mReport.mStreamed && mSink.IsSuperseded()) {
      mAbandonedAs = ExchangeOutcome::Superseded;
      return true;
    }
    if (!mReport.mStreamed && mSink.IsQuarantined()) {
      mAbandonedAs = ExchangeOutcome::Quarantined;
      return true;
    }
    if (!mReport.mStreamed && mSink.IsNodeExiting()) {
      mAbandonedAs = ExchangeOutcome::Stopping;
      return true;
    }
    return IsTargetStalled() && mSink.OnStall(*this);
  }

  bool IsTargetStalled()
  {
    const TimePoint now = mDependencies.mClock.Now();
    bool stalled = now >= mRequest.mStalledAt;
    if (mRequest.mStream) {
      TargetLoad load = mDependencies.mLoads.Get(mRequest.mTarget.mVmId);
      if (mRequest.mIgnoresEarlierSilence) {
        load.mBusySince = std::max(load.mBusySince, mStartedAt);
      }
      stalled = stalled || IsStalled(mRequest.mTarget, load, now);
    }
    mReport.mWasStalled = mReport.mWasStalled || stalled;
    return stalled;
  }

  /// @return the head, or HeadInvalid if a part of it can't be written
  Result<std::string> MakeHead() const
  {
    std::vector<HttpField> fields = mRequest.mFields;
    if (!mRequest.mBody.empty() || mRequest.mMethod == "POST" ||
        mRequest.mMethod == "PUT" || mRequest.mMethod == "PATCH") {
      fields.push_back(
        { "Content-Length", std::to_string(mRequest.mBody.size()) });
    }
    const Duration remaining =
      TimeLeft(mRequest.mDeadline, mDependencies.mClock.Now());
    fields.push_back({ mDependencies.mProtocol.mDeadline,
                       std::to_string(ToMillis(remaining)) });
    fields.push_back(
      { mDependencies.mProtocol.mExpectVm, mRequest.mTarget.mVmId });
    return RenderRequestHead(mRequest.mMethod, mRequest.mUri, fields);
  }

  /// Reads responses up to the one with the id of this request. A late response
  /// to an earlier request may precede it on a reused connection.
  void ReceiveResponse()
  {
    for (int n = 0; n <= kMaxStaleResponses; ++n) {
      const ResponseHead head = mSession->ReceiveHead(mAwaited.mIsBodyless);
      BodyReader body(*mSession, head);
      const std::optional<std::string> id =
        FindField(head, mDependencies.mProtocol.mRequestId);
      if (HasConflict(head.mFields, mDependencies.mProtocol.mRequestId)) {
        SetOutcome(ExchangeOutcome::Invalid, "the response has several ids");
        return;
      }
      const bool isRefusal =
        id.value_or("").empty() &&
        (FindField(head, mDependencies.mProtocol.mNotRun) ||
         head.mStatus == mDependencies.mProtocol.mMisdirected);
      if (isRefusal && mReport.mReused) {
        SetOutcome(ExchangeOutcome::Invalid,
                   "a refusal without id may be of an earlier request");
        return;
      }
      if (id.value_or("") == mRequest.mRequestId || isRefusal) {
        mReport.mBeganAt = mDependencies.mClock.Now();
        mDependencies.mReach.RecordAnswer(*mReport.mBeganAt);
        RecordAnnouncements(mDependencies, mRequest.mTarget, head);
        HandleResponse(head, body);
        return;
      }
      mNoStaleResponse = false;
      BudgetedBytes held(mDependencies.mBuffers);
      (void)ReadAll(body, held);
    }
    SetOutcome(ExchangeOutcome::Invalid,
               "no response has the id of this request");
  }

  void HandleResponse(const ResponseHead& aHead, BodyReader& aBody)
  {
    const int status = aHead.mStatus;
    if (status == mDependencies.mProtocol.mMisdirected) {
      SetOutcome(ExchangeOutcome::WrongVm, "");
      return;
    }
    const bool success = status >= 200 && status < 300;
    if (success && (!FindField(aHead, mDependencies.mProtocol.mProof) ||
                    FindField(aHead, "Content-Encoding"))) {
      SetOutcome(ExchangeOutcome::Invalid,
                 "a successful response lacks the proof header or is encoded");
      return;
    }
    if (mRequest.mNeedsMarkedEnd && !aBody.MarksItsEnd()) {
      SetOutcome(ExchangeOutcome::Invalid, "the response has no marked end");
      return;
    }
    CopyFields(aHead);
    mAwaited.mStatus = status;
    mReport.mMarksItsEnd = aBody.MarksItsEnd();
    mReport.mFraming = aHead.mFraming;
    if (mRequest.mStream && success &&
        ContentTypeOf(aHead).starts_with("text/event-stream")) {
      ReceiveEvents(aHead, aBody);
      return;
    }
    mAwaited.mMayEnd = !aBody.MarksItsEnd();
    mReport.mResponse.mHeldBytes = BudgetedBytes(mDependencies.mBuffers);
    mReport.mResponse.mBody = ReadAll(aBody, mReport.mResponse.mHeldBytes);
    mReport.mResponse.mStatus = status;
    mDependencies.mLoads.RecordProgress(mRequest.mTarget.mVmId,
                                        mDependencies.mClock.Now());
    ReturnSession(aHead, aBody);
    const bool notRun =
      FindField(aHead, mDependencies.mProtocol.mNotRun).has_value();
    SetOutcome(notRun ? ExchangeOutcome::NotRun : ExchangeOutcome::Answered,
               "");
  }

  void CopyFields(const ResponseHead& aHead)
  {
    for (const HttpField& it : aHead.mFields) {
      const bool isForged = mRequest.mNamesTarget && IsPeerField(it.mName);
      if (!IsConnectionField(it.mName) && !isForged) {
        mReport.mResponse.mFields.push_back(it);
      }
    }
    if (mRequest.mNamesTarget) {
      mReport.mResponse.mFields.push_back(
        { kTargetField,
          mRequest.mTarget.mVmId + " " +
            std::to_string(mRequest.mTarget.mStartedMillis) });
    }
    mReport.mResponse.mStatus = aHead.mStatus;
  }

  /// @param aHeld grows with the body
  std::string ReadAll(BodyReader& aBody, BudgetedBytes& aHeld)
  {
    std::string body;
    std::array<char, 16384> buf;
    mReport.mBodyBytes = 0;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      mReport.mBodyBytes += n;
      if (body.size() + n > kMaxResponseBytes) {
        throw Poco::Net::MessageException("the answer is too large");
      }
      if (!AppendWithin(aHeld, body, { buf.data(), n })) {
        throw Poco::Net::MessageException("too many bytes wait for callers");
      }
    }
    return body;
  }

  void ReceiveEvents(const ResponseHead& aHead, BodyReader& aBody)
  {
    EventSplitter splitter(mReport.mLastEvent);
    BudgetedBytes held(mDependencies.mBuffers);
    std::array<char, 16384> buf;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      mReport.mBodyBytes += n;
      splitter.Add({ buf.data(), n });
      if (splitter.PendingBytes() > kMaxEventBytes ||
          !held.TryGrowTo(splitter.PendingBytes())) {
        SetOutcome(ExchangeOutcome::Invalid, "an event is too large");
        return;
      }
      if (!ForwardEvents(splitter)) {
        return;
      }
      mAwaited.mMayEnd = !aBody.MarksItsEnd() && mReport.mStreamed &&
                         splitter.PendingBytes() == 0;
    }
    if (splitter.PendingBytes() > 0) {
      SetOutcome(ExchangeOutcome::Broken, "the stream ended within an event");
      return;
    }
    if (!mReport.mMarksItsEnd && !mReport.mStreamed) {
      SetOutcome(ExchangeOutcome::Broken, "the stream ended before an event");
      return;
    }
    if (!mReport.mStreamed &&
        !mSink.OnHead(aHead.mStatus, mReport.mResponse.mFields)) {
      SetOutcome(ExchangeOutcome::CallerDisconnected, "");
      return;
    }
    mReport.mStreamed = true;
    ReturnSession(aHead, aBody);
    SetOutcome(ExchangeOutcome::Answered, "");
  }

  /// Forwards the complete events received so far.
  /// @return false if the exchange has ended
  bool ForwardEvents(EventSplitter& aSplitter)
  {
    const std::string events = aSplitter.TakeCompleteEvents();
    if (aSplitter.IsOutOfOrder()) {
      SetOutcome(ExchangeOutcome::Invalid, "the events are out of order");
      return false;
    }
    if (events.empty()) {
      return true;
    }
    const TimePoint now = mDependencies.mClock.Now();
    const std::string& vm = mRequest.mTarget.mVmId;
    mDependencies.mReach.RecordAnswer(now);
    if (mInFlightEntry->mStreaming) {
      mReport.mLongestEventGap =
        std::max(mReport.mLongestEventGap, now - mLastEventAt);
      mDependencies.mLoads.RecordProgress(vm, now);
    } else {
      mReport.mTimeToFirstEvent = now - mStartedAt;
      // The silence of a stalled target says nothing about its queue.
      const auto wait = mReport.mWasStalled ? std::optional<Duration>()
                                            : mReport.mTimeToFirstEvent;
      mDependencies.mLoads.RecordFirstEvent(
        vm, wait, now, mRequest.mPromptTokens, mRequest.mIsDelayed);
      mInFlightEntry->mStreaming = true;
      if (!mSink.OnHead(mReport.mResponse.mStatus, mReport.mResponse.mFields)) {
        SetOutcome(ExchangeOutcome::CallerDisconnected, "");
        return false;
      }
      mReport.mStreamed = true;
    }
    mLastEventAt = now;
    if (!mSink.OnEvents(events, aSplitter.LastId())) {
      SetOutcome(ExchangeOutcome::CallerDisconnected, "");
      return false;
    }
    mReport.mLastEvent = aSplitter.LastId();
    return true;
  }

  void ReturnSession(const ResponseHead& aHead, const BodyReader& aBody)
  {
    const bool reusable = mNoStaleResponse && mSentCompletely &&
                          aBody.IsComplete() && aHead.mKeepsConnection &&
                          !mSession->HasUnreadBytes() && mSession->IsReusable();
    if (reusable) {
      mSession->Guard().SetCallerCheck(nullptr);
      mSession->Guard().SetAbandonCheck(nullptr);
      mDependencies.mPool.Release(mRequest.mTarget.mAddress,
                                  std::move(mSession));
    }
  }

  ExchangeOutcome ClassifyFailure(const Poco::Exception& aFailure) const
  {
    switch (mSession->Guard().StopReason()) {
      case TransferStop::CallerDisconnected:
        return ExchangeOutcome::CallerDisconnected;
      case TransferStop::Abandoned:
        return mAbandonedAs;
      case TransferStop::IdleTimeout:
      case TransferStop::Deadline:
        return ExchangeOutcome::Deadline;
      case TransferStop::None:
        break;
    }
    const bool malformed =
      dynamic_cast<const Poco::Net::MessageException*>(&aFailure) != nullptr &&
      dynamic_cast<const Poco::Net::NoMessageException*>(&aFailure) == nullptr;
    return malformed ? ExchangeOutcome::Invalid : ExchangeOutcome::Broken;
  }

  void SetOutcome(ExchangeOutcome aOutcome, std::string aDetail)
  {
    mReport.mOutcome = aOutcome;
    mReport.mDetail = std::move(aDetail);
  }

  const ExchangeDependencies& mDependencies;
  const ExchangeRequest& mRequest;
  StreamSink& mSink;
  const TimePoint mStartedAt;
  std::optional<InFlightEntry> mInFlightEntry; ///< none after Close
  SessionPool::Session mSession;
  ExchangeReport mReport;
  TimePoint mLastEventAt;
  ExchangeOutcome mAbandonedAs = ExchangeOutcome::Stalled;
  AwaitedResponse mAwaited;
  bool mSentCompletely = false;
  bool mNoStaleResponse = true; ///< no response to another request was received
};

} // namespace

const char*
NameOf(ExchangeOutcome aOutcome)
{
  switch (aOutcome) {
    case ExchangeOutcome::Answered:
      return "answered";
    case ExchangeOutcome::NotRun:
      return "not_run";
    case ExchangeOutcome::WrongVm:
      return "wrong_vm";
    case ExchangeOutcome::ConnectFailed:
      return "connect_failed";
    case ExchangeOutcome::Unsendable:
      return "unsendable";
    case ExchangeOutcome::Broken:
      return "broken";
    case ExchangeOutcome::Invalid:
      return "invalid";
    case ExchangeOutcome::Stalled:
      return "stalled";
    case ExchangeOutcome::Superseded:
      return "superseded";
    case ExchangeOutcome::Quarantined:
      return "quarantined";
    case ExchangeOutcome::Stopping:
      return "stopping";
    case ExchangeOutcome::Deadline:
      return "deadline";
    case ExchangeOutcome::CallerDisconnected:
      return "caller_gone";
  }
  return "";
}

bool
WasSent(const ExchangeReport& aReport)
{
  return aReport.mOutcome != ExchangeOutcome::ConnectFailed &&
         aReport.mOutcome != ExchangeOutcome::Unsendable &&
         (aReport.mSentBytes > 0 ||
          aReport.mOutcome != ExchangeOutcome::Broken);
}

ExchangeReport
RunExchange(const ExchangeDependencies& aDependencies,
            const ExchangeRequest& aRequest,
            StreamSink& aSink)
{
  return Exchange(aDependencies, aRequest, aSink).Run();
}

bool
IsConnectionField(std::string_view aName)
{
  static const std::array<std::string, 9> names{
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"
  };
  for (const std::string& it : names) {
    if (Poco::icompare(it, std::string(aName)) == 0) {
      return true;
    }
  }
  return false;
}

} // namespace hibiscushold
