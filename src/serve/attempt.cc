#include "serve/attempt.h"

#include "core/bodyreader.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <optional>
#include <utility>

namespace hibiscushold {

namespace {

constexpr size_t kMaxBodyBytes = 64000000;
constexpr size_t kMaxEventBytes = 1000000;
/// Bytes of a response that are examined before they are read.
constexpr size_t kMaxPeekedBytes = 8192;
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
      const Result<void> sent = Send();
      return sent ? Receive()
                  : MakeReport(AttemptStop::Failed, Describe(sent.error()));
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
    return mFacts.mHeaderRead || IsUsableHead(*unread);
  }

  void Close() override { mSession->reset(); }

private:
  /// @param aUnread the unread bytes, or the first of them
  /// @return whether a usable head ends in them
  bool IsUsableHead(std::string_view aUnread) const
  {
    ResponseHeadParser parser = mSession->PartialHead();
    for (const char it : aUnread) {
      const Result<bool> isComplete = parser.Add(it);
      if (!isComplete) {
        return false; // the attempt itself reports it when it reads the head
      }
      if (!isComplete.value()) {
        continue;
      }
      if (!IsInterim(parser.Head())) {
        AttemptFacts facts;
        ReadFacts(parser.Head(), facts);
        return IsUsable(facts);
      }
      parser = ResponseHeadParser(false);
    }
    return false;
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

  /// @return HeadInvalid if the head can't be written; nothing was sent then
  Result<void> Send()
  {
    std::vector<HttpField> fields{ { kAttemptIdField, mRequest.mAttemptId } };
    fields.insert(
      fields.end(), mRequest.mFields.begin(), mRequest.mFields.end());
    if (mRequest.mResumeFrom > 0) {
      fields.push_back({ kResumeField, std::to_string(mRequest.mResumeFrom) });
    }
    mSending = true; // also if it throws
    Result<void> sent = mSession->SendRequest(
      mRequest.mMethod, mRequest.mPath, fields, mRequest.mBody);
    mSending = sent.has_value();
    return sent;
  }

  AttemptReport Receive()
  {
    const ResponseHead head = mSession->ReceiveHead();
    BodyReader body(*mSession, head);
    mFacts.mHeaderRead = true;
    SetSilenceLimit(Duration::zero());
    mReport.mStreamed = IsStream(head);
    ReadFacts(head, mFacts);
    if (!IsUsable(mFacts)) {
      return MakeReport(AttemptStop::None,
                        "status " + std::to_string(head.mStatus));
    }
    mReport.mResponse.mStatus = head.mStatus;
    mReport.mResponse.mContentType = ContentTypeOf(head);
    return mReport.mStreamed ? ReceiveEvents(body, head)
                             : ReceiveBody(body, head);
  }

  static bool IsStream(const ResponseHead& aHead)
  {
    return ContentTypeOf(aHead).starts_with("text/event-stream");
  }

  void ReadFacts(const ResponseHead& aHead, AttemptFacts& aFacts) const
  {
    aFacts.mIdMatches =
      FindField(aHead, kAttemptIdField) == mRequest.mAttemptId &&
      !HasConflict(aHead.mFields, kAttemptIdField);
    aFacts.mHasNotRunMark = FindField(aHead, kRanField) == "no" &&
                            !HasConflict(aHead.mFields, kRanField);
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
  bool IsResumedAsRequested(const ResponseHead& aHead) const
  {
    return mRequest.mResumeFrom == 0 ||
           (IsStream(aHead) && FindField(aHead, kResumeField) ==
                                 std::to_string(mRequest.mResumeFrom));
  }

  AttemptReport ReceiveBody(BodyReader& aBody, const ResponseHead& aHead)
  {
    // Targets state the length of a response, so an end of the connection is
    // no end of its body.
    if (!aBody.MarksItsEnd()) {
      return MakeReport(AttemptStop::Failed, "the answer has no length");
    }
    std::string& body = mReport.mResponse.mBody;
    std::array<char, 16384> buf;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      body.append(buf.data(), n);
      if (body.size() > kMaxBodyBytes) {
        return MakeReport(AttemptStop::TooLarge, "the answer is too large");
      }
    }
    return Complete(aHead.mKeepsConnection);
  }

  AttemptReport ReceiveEvents(BodyReader& aBody, const ResponseHead& aHead)
  {
    SetSilenceLimit(mRequest.mEventTimeout);
    std::string pending; // received bytes of the line that has no end yet
    std::string event;
    bool endSeen = false;
    std::array<char, 16384> buf;
    for (size_t n = aBody.Read(buf); n > 0; n = aBody.Read(buf)) {
      std::string_view bytes(buf.data(), n);
      for (size_t end = bytes.find('\n'); end != bytes.npos;
           end = bytes.find('\n')) {
        pending += bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        const std::string line = TakeLine(pending);
        event += line + "\n";
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
          return Complete(IsReusableAfter(aBody, aHead));
        }
      }
      pending += bytes;
      if (event.size() + pending.size() > kMaxEventBytes) {
        return MakeReport(AttemptStop::TooLarge, "an event is too large");
      }
    }
    return MakeReport(AttemptStop::Failed, "the answer ended too early");
  }

  /// @return the line, without a carriage return at its end
  static std::string TakeLine(std::string& aPending)
  {
    std::string line = std::exchange(aPending, std::string());
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    return line;
  }

  /// Reads the end of a stream whose last event was received. A failure costs
  /// only the connection.
  bool IsReusableAfter(BodyReader& aBody, const ResponseHead& aHead)
  {
    mSession->Guard().SetSilenceCheck(mRequest.mEventTimeout,
                                      [] { return true; });
    try {
      char byte = 0;
      return aHead.mKeepsConnection && aBody.Read({ &byte, 1 }) == 0;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  AttemptReport Complete(bool aReusable)
  {
    mFacts.mIsComplete = true;
    if (aReusable && !mSession->HasUnreadBytes() && mSession->IsReusable()) {
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
