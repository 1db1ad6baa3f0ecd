#include "serve/attempt.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <istream>
#include <optional>
#include <ostream>
#include <sstream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr size_t kMaxBodyBytes = 64000000;
constexpr size_t kMaxEventBytes = 1000000;
/// Bytes of a response that are examined before they are read.
constexpr size_t kMaxPeekedBytes = 8192;
constexpr std::string_view kHeadStart = "HTTP/";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kStreamEndLine = "data: [DONE]";
constexpr auto kConnectTimeout = milliseconds(1000);

/// Runs one attempt and holds its state.
class Attempt final : public WaitingAttempt
{
public:
  Attempt(SessionPool& aPool,
          const Clock& aClock,
          const AttemptRequest& aRequest,
          AttemptSink& aSink)
    : mPool(aPool)
    , mClock(aClock)
    , mRequest(aRequest)
    , mSink(aSink)
    , mSession(aRequest.mNewConnection ? aPool.CreateSession(aRequest.mTarget)
                                       : aPool.Acquire(aRequest.mTarget))
  {
    mReport.mReused = mSession->connected();
  }

  AttemptReport Run()
  {
    const Duration left = TimeLeft(mRequest.mDeadline, mClock.Now());
    Result<void> connected = Connect(
      *mSession, mRequest.mTarget, std::min<Duration>(left, kConnectTimeout));
    if (!connected) {
      return MakeReport(AttemptStop::Failed, Describe(connected.error()));
    }
    SetTransferLimits(left);
    try {
      Send();
      return Receive();
    } catch (const Poco::Exception& e) {
      return MakeReport(AttemptStop::Failed, e.displayText());
    }
  }

  bool IsReused() const override { return mReport.mReused; }

  bool HasProgress() const override
  {
    std::array<char, kMaxPeekedBytes> buf;
    const std::optional<std::string_view> unread = mSession->PeekRaw(buf);
    if (!unread || unread->empty()) {
      return false;
    }
    // The start of the head may have been read already.
    if (mFacts.mHeaderRead || !unread->starts_with(kHeadStart)) {
      return true;
    }
    return unread->find(kHeadEnd) != unread->npos && IsUsableHead(*unread);
  }

  void Close() override { mSession->reset(); }

private:
  bool IsUsableHead(std::string_view aText) const
  {
    HTTPResponse head;
    std::istringstream in{ std::string(aText) };
    try {
      head.read(in);
    } catch (const Poco::Exception&) {
      return false; // the attempt itself reports it when it reads the head
    }
    AttemptFacts facts;
    ReadFacts(head, facts);
    return IsUsable(facts);
  }

  void SetTransferLimits(Duration aLeft)
  {
    mSession->SetTimeouts(aLeft);
    TransferLimiter& limiter = mSession->Guard();
    limiter.ResetSent();
    const bool bounded = mReport.mReused || mRequest.mExpectStream;
    SetSilenceLimit(bounded ? mRequest.mFirstByteTimeout : Duration::zero());
    limiter.SetAbandonCheck(
      [this] { return mReport.mEventsForwarded == 0 && mSink.IsSuperseded(); });
    if (mRequest.mCancelOnDisconnect) {
      limiter.SetCallerCheck([this] { return mSink.IsCallerDisconnected(); });
    }
  }

  void SetSilenceLimit(Duration aAfter)
  {
    mSession->Guard().SetSilenceCheck(
      aAfter, [this] { return mSink.OnSilence(*this); });
  }

  void Send()
  {
    Poco::Net::HTTPRequest head(
      mRequest.mMethod, mRequest.mPath, HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.set(kAttemptIdField, mRequest.mAttemptId);
    for (const HttpField& it : mRequest.mFields) {
      head.set(it.mName, it.mValue);
    }
    if (mRequest.mResumeFrom > 0) {
      head.set(kResumeField, std::to_string(mRequest.mResumeFrom));
    }
    head.setContentLength64(static_cast<int64_t>(mRequest.mBody.size()));
    mSending = true;
    std::ostream& out = mSession->sendRequest(head);
    out.write(mRequest.mBody.data(),
              static_cast<std::streamsize>(mRequest.mBody.size()));
    out.flush();
    if (!out.good()) {
      throw Poco::Net::ConnectionResetException("while sending the body");
    }
  }

  AttemptReport Receive()
  {
    HTTPResponse head;
    std::istream& in = mSession->receiveResponse(head);
    mFacts.mHeaderRead = true;
    SetSilenceLimit(Duration::zero());
    mReport.mStreamed = IsStream(head);
    ReadFacts(head, mFacts);
    if (!IsUsable(mFacts)) {
      return MakeReport(AttemptStop::None,
                        "status " + std::to_string(head.getStatus()));
    }
    mReport.mResponse.mStatus = head.getStatus();
    mReport.mResponse.mContentType = head.getContentType();
    return mReport.mStreamed ? ReceiveEvents(in) : ReceiveBody(in, head);
  }

  static bool IsStream(const HTTPResponse& aHead)
  {
    return aHead.getContentType().starts_with("text/event-stream");
  }

  void ReadFacts(const HTTPResponse& aHead, AttemptFacts& aFacts) const
  {
    aFacts.mIdMatches = aHead.get(kAttemptIdField, "") == mRequest.mAttemptId;
    aFacts.mHasNotRunMark = aHead.get(kRanField, "") == "no";
    aFacts.mIsResumedAsRequested = IsResumedAsRequested(aHead);
  }

  /// @return whether the response may be passed to the caller
  static bool IsUsable(const AttemptFacts& aFacts)
  {
    return aFacts.mIdMatches && !aFacts.mHasNotRunMark &&
           aFacts.mIsResumedAsRequested;
  }

  /// A caller that has received part of a stream can only use the rest of it.
  /// @return whether the response continues the stream after mResumeFrom
  ///         events, or no such continuation was requested
  bool IsResumedAsRequested(const HTTPResponse& aHead) const
  {
    return mRequest.mResumeFrom == 0 ||
           (IsStream(aHead) && aHead.get(kResumeField, "") ==
                                 std::to_string(mRequest.mResumeFrom));
  }

  AttemptReport ReceiveBody(std::istream& aIn, const HTTPResponse& aHead)
  {
    std::string& body = mReport.mResponse.mBody;
    std::array<char, 16384> buf;
    while (aIn.good()) {
      aIn.read(buf.data(), buf.size());
      body.append(buf.data(), static_cast<size_t>(aIn.gcount()));
      if (body.size() > kMaxBodyBytes) {
        return MakeReport(AttemptStop::TooLarge, "the answer is too large");
      }
    }
    if (!IsComplete(aHead)) {
      return ReportIncomplete();
    }
    return Complete(aHead.getKeepAlive());
  }

  /// POCO's streams report no error if the connection ends prematurely, so the
  /// length is compared, and after a chunked body the connection must still be
  /// open.
  bool IsComplete(const HTTPResponse& aHead)
  {
    if (mSession->networkException() != nullptr) {
      return false;
    }
    if (aHead.hasContentLength()) {
      return mReport.mResponse.mBody.size() ==
             static_cast<size_t>(aHead.getContentLength64());
    }
    return aHead.getChunkedTransferEncoding() && aHead.getKeepAlive() &&
           mSession->IsReusable();
  }

  AttemptReport ReceiveEvents(std::istream& aIn)
  {
    SetSilenceLimit(mRequest.mEventTimeout);
    std::string event;
    std::string line;
    bool endSeen = false;
    while (std::getline(aIn, line)) {
      if (aIn.eof()) {
        break; // a last line without a line end is truncated
      }
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      event += line + "\n";
      if (event.size() > kMaxEventBytes) {
        return MakeReport(AttemptStop::TooLarge, "an event is too large");
      }
      if (!line.empty()) {
        endSeen = endSeen || line == kStreamEndLine;
        continue;
      }
      if (!mSink.OnEvent(event)) {
        return MakeReport(AttemptStop::CallerDisconnected, "");
      }
      ++mReport.mEventsForwarded;
      event.clear();
      if (endSeen) {
        // Only the reuse of the connection is still at stake.
        mSession->Guard().SetSilenceCheck(mRequest.mEventTimeout,
                                          [] { return true; });
        return Complete(IsAtEnd(aIn) && mSession->IsReusable());
      }
    }
    return ReportIncomplete();
  }

  /// @return whether the stream ends here
  static bool IsAtEnd(std::istream& aIn)
  {
    return aIn.get() == std::istream::traits_type::eof();
  }

  AttemptReport ReportIncomplete()
  {
    const Poco::Exception* e = mSession->networkException();
    return MakeReport(AttemptStop::Failed,
                      e == nullptr ? "the answer ended too early"
                                   : e->displayText());
  }

  AttemptReport Complete(bool aReusable)
  {
    mFacts.mIsComplete = true;
    if (aReusable) {
      TransferLimiter& limiter = mSession->Guard();
      limiter.SetCallerCheck(nullptr);
      limiter.SetAbandonCheck(nullptr);
      limiter.SetSilenceCheck(Duration::zero(), nullptr);
      mPool.Release(mRequest.mTarget, std::move(mSession));
    }
    return MakeReport(AttemptStop::None, "");
  }

  /// Replaces Failed by the reason for which the transfer limiter stopped the
  /// transfer, if it did.
  AttemptStop RefineStop(AttemptStop aStop)
  {
    if (aStop != AttemptStop::Failed) {
      return aStop;
    }
    switch (mSession->Guard().StopReason()) {
      case TransferStop::Deadline:
        return AttemptStop::Deadline;
      case TransferStop::IdleTimeout:
        return AttemptStop::IdleTimeout;
      case TransferStop::CallerDisconnected:
        return AttemptStop::CallerDisconnected;
      case TransferStop::Abandoned:
        return AttemptStop::Superseded;
      case TransferStop::None:
        break;
    }
    return aStop;
  }

  /// A connection that is not guarded (TLS) does not count its bytes. Any of
  /// them may have been sent once sending has started.
  /// @return the number of bytes sent, or 1 if it is unknown but not surely 0
  uint64_t SentBytes()
  {
    if (!mSending) {
      return 0;
    }
    return mSession->IsGuarded() ? mSession->Guard().SentBytes() : 1;
  }

  AttemptReport MakeReport(AttemptStop aStop, std::string aDetail)
  {
    if (mSession != nullptr) {
      mFacts.mStop = RefineStop(aStop);
      mFacts.mBytesSent = SentBytes();
    }
    mReport.mOutcome = ClassifyAttempt(mFacts);
    mReport.mDetail = std::move(aDetail);
    return std::move(mReport);
  }

  SessionPool& mPool;
  const Clock& mClock;
  const AttemptRequest& mRequest;
  AttemptSink& mSink;
  SessionPool::Session mSession;
  AttemptReport mReport;
  AttemptFacts mFacts;
  bool mSending = false;
};

} // namespace

AttemptReport
RunAttempt(SessionPool& aPool,
           const Clock& aClock,
           const AttemptRequest& aRequest,
           AttemptSink& aSink)
{
  return Attempt(aPool, aClock, aRequest, aSink).Run();
}

} // namespace hibiscushold
