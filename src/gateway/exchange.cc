#include "gateway/exchange.h"

#include "gateway/bodyreader.h"
#include "gateway/events.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <array>
#include <sstream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr size_t kMaxAnswerBytes = 16000000;
constexpr size_t kMaxEventBytes = 1000000;
/// Answers to earlier requests that may precede the own one.
constexpr int kMaxForeignAnswers = 2;

/// Counts the request at its target for as long as it lives.
class LoadEntry
{
public:
  LoadEntry(const ExchangeParts& aParts, const ExchangeRequest& aRequest)
    : mParts(aParts)
    , mTarget(aRequest.mTarget.mVmId)
    , mTokens(aRequest.mPromptTokens)
  {
    mParts.mLoads.Begin(mTarget, mParts.mClock.Now(), mTokens);
  }

  ~LoadEntry()
  {
    mParts.mLoads.End(mTarget, mStreaming, mParts.mClock.Now(), mTokens);
  }

  LoadEntry(const LoadEntry&) = delete;
  LoadEntry& operator=(const LoadEntry&) = delete;

  bool mStreaming = false;

private:
  const ExchangeParts& mParts;
  const std::string mTarget;
  const uint64_t mTokens;
};

/// Carries the parts of one exchange from step to step.
class Exchange
{
public:
  Exchange(const ExchangeParts& aParts,
           const ExchangeRequest& aRequest,
           StreamSink& aSink)
    : mParts(aParts)
    , mRequest(aRequest)
    , mSink(aSink)
    , mSentAt(aParts.mClock.Now())
    , mEntry(aParts, aRequest)
  {
    mReport.mLastEvent = aRequest.mLastEvent;
  }

  ExchangeReport Run()
  {
    if (!OpenSession()) {
      return std::move(mReport);
    }
    try {
      mSentWhole = mSession->SendRaw(MakeHead());
      mSentWhole = mSentWhole && mSession->SendRaw(mRequest.mBody);
      Receive();
    } catch (const Poco::Exception& e) {
      End(EndOfFailure(e), e.displayText());
    }
    mReport.mSentBytes = mSession ? mSession->Guard().Sent() : 1;
    return std::move(mReport);
  }

private:
  bool OpenSession()
  {
    const Endpoint& to = mRequest.mTarget.mAddress;
    mSession = mRequest.mFresh ? mParts.mPool.Make(to) : mParts.mPool.Take(to);
    if (mSession->connected() && !mSession->IsIdle()) {
      mSession = mParts.mPool.Make(to);
    }
    mReport.mReused = mSession->connected();
    const Duration left = TimeLeft(mRequest.mDeadline, mParts.mClock.Now());
    const Result<void> opened =
      Connect(*mSession, to, std::min<Duration>(left, mRequest.mConnectLimit));
    if (!opened) {
      End(ExchangeEnd::ConnectFailed, Describe(opened.error()));
      return false;
    }
    TransferGuard& guard = mSession->Guard();
    guard.ResetSent();
    guard.SetDeadline(std::min(mRequest.mDeadline, mRequest.mGiveUpAt));
    guard.SetGap(Duration::zero());
    guard.SetCallerCheck([this] { return mSink.IsCallerGone(); });
    guard.SetAbandonCheck([this] { return IsTargetStalled(); });
    return true;
  }

  bool IsTargetStalled() const
  {
    return mRequest.mStream &&
           IsStalled(mRequest.mTarget,
                     mParts.mLoads.Get(mRequest.mTarget.mVmId),
                     mParts.mClock.Now());
  }

  std::string MakeHead() const
  {
    HTTPRequest head(mRequest.mMethod, mRequest.mUri, HTTPMessage::HTTP_1_1);
    for (const HttpField& it : mRequest.mFields) {
      head.add(it.mName, it.mValue);
    }
    if (!mRequest.mBody.empty() || mRequest.mMethod == "POST" ||
        mRequest.mMethod == "PUT" || mRequest.mMethod == "PATCH") {
      head.setContentLength64(static_cast<int64_t>(mRequest.mBody.size()));
    }
    const Duration left = TimeLeft(mRequest.mDeadline, mParts.mClock.Now());
    head.set(mParts.mDialect.mDeadline, std::to_string(ToMillis(left)));
    head.set(mParts.mDialect.mExpectVm, mRequest.mTarget.mVmId);
    std::ostringstream text;
    head.write(text);
    return text.str();
  }

  /// Reads answers until the own one; a late answer to an earlier request
  /// may be first.
  void Receive()
  {
    for (int n = 0; n <= kMaxForeignAnswers; ++n) {
      HTTPResponse head;
      mSession->receiveResponse(head);
      BodyReader body(*mSession, head, mRequest.mMethod == "HEAD");
      const std::string id = head.get(mParts.mDialect.mRequestId, "");
      if (id == mRequest.mRequestId ||
          (id.empty() && head.has(mParts.mDialect.mNotRun))) {
        ReceiveOwn(head, body);
        return;
      }
      mClean = false;
      (void)ReadWhole(body);
    }
    End(ExchangeEnd::Invalid, "the answers are to other requests");
  }

  void ReceiveOwn(const HTTPResponse& aHead, BodyReader& aBody)
  {
    const int status = aHead.getStatus();
    if (status == mParts.mDialect.mMisdirected) {
      End(ExchangeEnd::WrongVm, "");
      return;
    }
    const bool success = status >= 200 && status < 300;
    if (success &&
        (!aHead.has(mParts.mDialect.mProof) || aHead.has("Content-Encoding"))) {
      End(ExchangeEnd::Invalid, "a success without proof or with an encoding");
      return;
    }
    CopyFields(aHead);
    if (mRequest.mStream && success &&
        aHead.getContentType().starts_with("text/event-stream")) {
      ReceiveEvents(aHead, aBody);
      return;
    }
    mReport.mReply.mBody = ReadWhole(aBody);
    mReport.mReply.mStatus = status;
    mParts.mLoads.NoteProgress(mRequest.mTarget.mVmId, mParts.mClock.Now());
    KeepSession(aHead, aBody);
    const bool notRun = aHead.has(mParts.mDialect.mNotRun);
    End(notRun ? ExchangeEnd::NotRun : ExchangeEnd::Answered, "");
  }

  void CopyFields(const HTTPResponse& aHead)
  {
    for (const auto& [name, value] : aHead) {
      if (!IsConnectionField(name)) {
        mReport.mReply.mFields.push_back({ name, value });
      }
    }
    mReport.mReply.mStatus = aHead.getStatus();
  }

  static std::string ReadWhole(BodyReader& aBody)
  {
    std::string body;
    std::array<char, 16384> buf;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      body.append(buf.data(), n);
      if (body.size() > kMaxAnswerBytes) {
        throw Poco::Net::MessageException("the answer is too large");
      }
    }
    return body;
  }

  void ReceiveEvents(const HTTPResponse& aHead, BodyReader& aBody)
  {
    EventSplitter splitter(mReport.mLastEvent);
    std::array<char, 16384> buf;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      splitter.Add({ buf.data(), n });
      if (splitter.Rest() > kMaxEventBytes) {
        End(ExchangeEnd::Invalid, "an event is too large");
        return;
      }
      if (!PassEvents(splitter)) {
        return;
      }
    }
    if (splitter.Rest() > 0) {
      End(ExchangeEnd::Broken, "the stream ended within an event");
      return;
    }
    if (!mReport.mStreamed &&
        !mSink.OnHead(aHead.getStatus(), mReport.mReply.mFields)) {
      End(ExchangeEnd::CallerGone, "");
      return;
    }
    mReport.mStreamed = true;
    KeepSession(aHead, aBody);
    End(ExchangeEnd::Answered, "");
  }

  /// @return whether the stream goes on
  bool PassEvents(EventSplitter& aSplitter)
  {
    const std::string events = aSplitter.Take();
    if (aSplitter.IsOutOfOrder()) {
      End(ExchangeEnd::Invalid, "the events are out of order");
      return false;
    }
    if (events.empty()) {
      return true;
    }
    const TimePoint now = mParts.mClock.Now();
    const std::string& vm = mRequest.mTarget.mVmId;
    if (mEntry.mStreaming) {
      mReport.mLongestGap = std::max(mReport.mLongestGap, now - mLastEventAt);
      mParts.mLoads.NoteProgress(vm, now);
    } else {
      mReport.mFirstWait = now - mSentAt;
      mParts.mLoads.NoteFirst(
        vm, mReport.mFirstWait, now, mRequest.mPromptTokens);
      mEntry.mStreaming = true;
      mSession->Guard().SetDeadline(mRequest.mDeadline);
      if (!mSink.OnHead(mReport.mReply.mStatus, mReport.mReply.mFields)) {
        End(ExchangeEnd::CallerGone, "");
        return false;
      }
      mReport.mStreamed = true;
    }
    mLastEventAt = now;
    if (!mSink.OnEvents(events)) {
      End(ExchangeEnd::CallerGone, "");
      return false;
    }
    mReport.mLastEvent = aSplitter.LastId();
    return true;
  }

  void KeepSession(const HTTPResponse& aHead, const BodyReader& aBody)
  {
    const bool usable = mClean && mSentWhole && aBody.IsWhole() &&
                        aBody.LeavesOpen() && aHead.getKeepAlive() &&
                        !mSession->HasUnreadBytes() && mSession->IsIdle();
    if (usable) {
      mSession->Guard().SetCallerCheck(nullptr);
      mSession->Guard().SetAbandonCheck(nullptr);
      mParts.mPool.Keep(mRequest.mTarget.mAddress, std::move(mSession));
    }
  }

  ExchangeEnd EndOfFailure(const Poco::Exception& aFailure) const
  {
    switch (mSession->Guard().Stop()) {
      case TransferStop::CallerGone:
        return ExchangeEnd::CallerGone;
      case TransferStop::Abandoned:
        return ExchangeEnd::Stalled;
      case TransferStop::Silence:
      case TransferStop::Deadline:
        return mParts.mClock.Now() >= mRequest.mDeadline ? ExchangeEnd::Deadline
                                                         : ExchangeEnd::Stalled;
      case TransferStop::None:
        break;
    }
    const bool malformed =
      dynamic_cast<const Poco::Net::MessageException*>(&aFailure) != nullptr &&
      dynamic_cast<const Poco::Net::NoMessageException*>(&aFailure) == nullptr;
    return malformed ? ExchangeEnd::Invalid : ExchangeEnd::Broken;
  }

  void End(ExchangeEnd aEnd, std::string aDetail)
  {
    mReport.mEnd = aEnd;
    mReport.mDetail = std::move(aDetail);
  }

  const ExchangeParts& mParts;
  const ExchangeRequest& mRequest;
  StreamSink& mSink;
  const TimePoint mSentAt;
  LoadEntry mEntry;
  SessionPool::Session mSession;
  ExchangeReport mReport;
  TimePoint mLastEventAt;
  bool mSentWhole = false;
  bool mClean = true; ///< no answer of another request came in
};

} // namespace

const char*
NameOf(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::Answered:
      return "answered";
    case ExchangeEnd::NotRun:
      return "not_run";
    case ExchangeEnd::WrongVm:
      return "wrong_vm";
    case ExchangeEnd::ConnectFailed:
      return "connect_failed";
    case ExchangeEnd::Broken:
      return "broken";
    case ExchangeEnd::Invalid:
      return "invalid";
    case ExchangeEnd::Stalled:
      return "stalled";
    case ExchangeEnd::Deadline:
      return "deadline";
    case ExchangeEnd::CallerGone:
      return "caller_gone";
  }
  return "";
}

ExchangeReport
RunExchange(const ExchangeParts& aParts,
            const ExchangeRequest& aRequest,
            StreamSink& aSink)
{
  return Exchange(aParts, aRequest, aSink).Run();
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
