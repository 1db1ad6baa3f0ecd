#include "serve/attempt.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <istream>
#include <ostream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr size_t kMaxAnswerBytes = 64000000;
constexpr size_t kMaxEventBytes = 1000000;
constexpr std::string_view kDone = "data: [DONE]";
constexpr auto kConnectLimit = milliseconds(1000);

/// Carries the parts of one attempt from step to step.
class Attempt
{
public:
  Attempt(SessionPool& aPool,
          const Clock& aClock,
          const AttemptRequest& aRequest,
          EventSink& aSink)
    : mPool(aPool)
    , mClock(aClock)
    , mRequest(aRequest)
    , mSink(aSink)
    , mSession(aRequest.mFresh ? aPool.Make(aRequest.mTarget)
                               : TakeOpen(aPool, aRequest.mTarget))
  {
    mReport.mReused = mSession->connected();
  }

  AttemptReport Run()
  {
    const Duration left = TimeLeft(mRequest.mDeadline, mClock.Now());
    Result<void> connected = Connect(
      *mSession, mRequest.mTarget, std::min<Duration>(left, kConnectLimit));
    if (!connected) {
      return End(AttemptStop::Failed, Describe(connected.error()));
    }
    BoundTransfers(left);
    try {
      Send();
      return Receive();
    } catch (const Poco::Exception& e) {
      return End(AttemptStop::Failed, e.displayText());
    }
  }

private:
  /// A connection that the target closed meanwhile is left out.
  static SessionPool::Session TakeOpen(SessionPool& aPool, const Endpoint& aTo)
  {
    SessionPool::Session session = aPool.Take(aTo);
    const bool usable = !session->connected() || session->IsIdle();
    return usable ? std::move(session) : aPool.Make(aTo);
  }

  void BoundTransfers(Duration aLeft)
  {
    mSession->Limit(aLeft);
    TransferGuard& guard = mSession->Guard();
    guard.ResetSent();
    const bool bounded = mReport.mReused || mRequest.mForStream;
    guard.SetGap(bounded ? mRequest.mFirstByte : Duration::zero());
    if (mRequest.mEndWithCaller) {
      guard.SetCallerCheck([this] { return mSink.IsCallerGone(); });
    }
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
    mFacts.mHeadRead = true;
    mFacts.mIsOwn = head.get(kAttemptIdField, "") == mRequest.mAttemptId;
    mFacts.mSaysNotRun = head.get(kRanField, "") == "no";
    mSession->Guard().SetGap(Duration::zero());
    mReport.mStreamed = head.getContentType().starts_with("text/event-stream");
    mFacts.mIsResumed = IsResumed(head);
    if (!mFacts.mIsOwn || mFacts.mSaysNotRun || !mFacts.mIsResumed) {
      return End(AttemptStop::None,
                 "status " + std::to_string(head.getStatus()));
    }
    mReport.mAnswer.mStatus = head.getStatus();
    mReport.mAnswer.mContentType = head.getContentType();
    return mReport.mStreamed ? ReceiveEvents(in) : ReceiveBody(in, head);
  }

  /// A caller that has got a part of a stream can take nothing but the rest.
  bool IsResumed(const HTTPResponse& aHead) const
  {
    return mRequest.mResumeFrom == 0 ||
           (mReport.mStreamed && aHead.get(kResumeField, "") ==
                                   std::to_string(mRequest.mResumeFrom));
  }

  AttemptReport ReceiveBody(std::istream& aIn, const HTTPResponse& aHead)
  {
    std::string& body = mReport.mAnswer.mBody;
    std::array<char, 16384> buf;
    while (aIn.good()) {
      aIn.read(buf.data(), buf.size());
      body.append(buf.data(), static_cast<size_t>(aIn.gcount()));
      if (body.size() > kMaxAnswerBytes) {
        return End(AttemptStop::TooLarge, "the answer is too large");
      }
    }
    if (!IsWhole(aHead)) {
      return EndOfBrokenBody();
    }
    return Finish(aHead.getKeepAlive());
  }

  /// POCO's streams end quietly at a premature end of the connection, so
  /// the length is compared, and a chunked body must leave it open.
  bool IsWhole(const HTTPResponse& aHead)
  {
    if (mSession->networkException() != nullptr) {
      return false;
    }
    if (aHead.hasContentLength()) {
      return mReport.mAnswer.mBody.size() ==
             static_cast<size_t>(aHead.getContentLength64());
    }
    return aHead.getChunkedTransferEncoding() && aHead.getKeepAlive() &&
           mSession->IsIdle();
  }

  AttemptReport ReceiveEvents(std::istream& aIn)
  {
    mSession->Guard().SetGap(mRequest.mEventGap);
    std::string event;
    std::string line;
    bool done = false;
    while (std::getline(aIn, line)) {
      if (aIn.eof()) {
        break; // a last line without its end was cut off
      }
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      event += line + "\n";
      if (event.size() > kMaxEventBytes) {
        return End(AttemptStop::TooLarge, "an event is too large");
      }
      if (!line.empty()) {
        done = done || line == kDone;
        continue;
      }
      if (!mSink.OnEvent(event)) {
        return End(AttemptStop::CallerGone, "");
      }
      ++mReport.mEventsPassed;
      event.clear();
      if (done) {
        return Finish(ReadToEnd(aIn) && mSession->IsIdle());
      }
    }
    return EndOfBrokenBody();
  }

  /// @return whether nothing but the end follows the last event
  static bool ReadToEnd(std::istream& aIn)
  {
    return aIn.get() == std::istream::traits_type::eof();
  }

  AttemptReport EndOfBrokenBody()
  {
    const Poco::Exception* e = mSession->networkException();
    return End(AttemptStop::Failed,
               e == nullptr ? "the answer ended too early" : e->displayText());
  }

  AttemptReport Finish(bool aReusable)
  {
    mFacts.mIsWhole = true;
    if (aReusable) {
      mSession->Guard().SetCallerCheck(nullptr);
      mPool.Keep(mRequest.mTarget, std::move(mSession));
    }
    return End(AttemptStop::None, "");
  }

  /// The guard knows why a transfer failed.
  AttemptStop Refine(AttemptStop aStop)
  {
    if (aStop != AttemptStop::Failed) {
      return aStop;
    }
    switch (mSession->Guard().Stop()) {
      case TransferStop::Deadline:
        return AttemptStop::Deadline;
      case TransferStop::Silence:
        return AttemptStop::Silence;
      case TransferStop::CallerGone:
        return AttemptStop::CallerGone;
      case TransferStop::Abandoned:
      case TransferStop::None:
        break;
    }
    return aStop;
  }

  /// Without a guard, any byte may have gone out once sending began.
  uint64_t SentBytes()
  {
    if (!mSending) {
      return 0;
    }
    return mSession->IsGuarded() ? mSession->Guard().Sent() : 1;
  }

  AttemptReport End(AttemptStop aStop, std::string aDetail)
  {
    if (mSession != nullptr) {
      mFacts.mStop = Refine(aStop);
      mFacts.mBytesSent = SentBytes();
    }
    mReport.mEnd = EndOf(mFacts);
    mReport.mDetail = std::move(aDetail);
    return std::move(mReport);
  }

  SessionPool& mPool;
  const Clock& mClock;
  const AttemptRequest& mRequest;
  EventSink& mSink;
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
           EventSink& aSink)
{
  return Attempt(aPool, aClock, aRequest, aSink).Run();
}

AttemptReport
RunReconnecting(SessionPool& aPool,
                const Clock& aClock,
                const AttemptRequest& aRequest,
                EventSink& aSink,
                const std::function<bool()>& aMayRetry)
{
  AttemptReport report = RunAttempt(aPool, aClock, aRequest, aSink);
  const bool suspect =
    report.mEnd == AttemptEnd::Silent || report.mEnd == AttemptEnd::Broken;
  if (!report.mReused || !suspect || report.mEventsPassed > 0) {
    return report;
  }
  aPool.DiscardOpenedBefore(aRequest.mTarget, aClock.Now());
  if (!aMayRetry()) {
    return report;
  }
  AttemptRequest again = aRequest;
  again.mFresh = true;
  report = RunAttempt(aPool, aClock, again, aSink);
  report.mReconnected = true;
  return report;
}

} // namespace hibiscushold
