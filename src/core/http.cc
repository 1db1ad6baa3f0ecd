#include "core/http.h"

#include "core/bodyreader.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <array>

namespace hibiscushold {

namespace {

/// Estimate of the header bytes of a request and its reply, which aren't
/// counted.
constexpr uint64_t kEstimatedHeaderBytes = 200;

Failure
TimedOut(const Endpoint& aEndpoint)
{
  return { Error::TimedOut, ToString(aEndpoint), "" };
}

/// Reads a reply. Its body must mark its end, so that truncation is detected.
Result<HttpReply>
Receive(HttpSession& aSession,
        const Endpoint& aEndpoint,
        const HttpRequest& aRequest,
        const Clock& aClock,
        TimePoint aDeadline)
{
  ResponseHead head = aSession.ReceiveHead(aRequest.mMethod == "HEAD");
  BodyReader body(aSession, head);
  const auto tooLong = [&] {
    return Failure{ Error::ReplyInvalid,
                    ToString(aEndpoint) + ": over " +
                      std::to_string(aRequest.mMaxReplyBytes) + " bytes",
                    "" };
  };
  if (!body.MarksItsEnd()) {
    return Failure{ Error::ReplyInvalid,
                    ToString(aEndpoint) + ": the reply has no length",
                    "" };
  }
  if (head.mFraming == BodyFraming::Length &&
      head.mLength > aRequest.mMaxReplyBytes) {
    return tooLong();
  }
  HttpReply reply;
  reply.mStatus = head.mStatus;
  reply.mFields = std::move(head.mFields);
  std::array<char, 16384> buf;
  for (size_t n = body.Read(buf); n > 0; n = body.Read(buf)) {
    if (reply.mBody.size() + n > aRequest.mMaxReplyBytes) {
      return tooLong();
    }
    if (aClock.Now() >= aDeadline) {
      return TimedOut(aEndpoint);
    }
    reply.mBody.append(buf.data(), n);
  }
  if (!head.mKeepsConnection) {
    aSession.reset();
  }
  return reply;
}

} // namespace

HttpClient::HttpClient(const Clock& aClock,
                       std::shared_ptr<const TlsContext> aTls)
  : mClock(aClock)
  , mPool(aClock, std::move(aTls))
{
}

Result<HttpReply>
HttpClient::Call(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 TimePoint aDeadline)
{
  const Duration timeLeft = TimeLeft(aDeadline, mClock.Now());
  if (timeLeft == Duration::zero()) {
    return Failure{ Error::ConnectFailed,
                    ToString(aEndpoint) + ": no time left",
                    "" };
  }
  SessionPool::Session session = mPool.Acquire(aEndpoint);
  BOOST_OUTCOME_TRY(Connect(*session, aEndpoint, timeLeft));
  try {
    BOOST_OUTCOME_TRY(session->SendRequest(
      aRequest.mMethod, aRequest.mPath, aRequest.mFields, aRequest.mBody));
    BOOST_OUTCOME_TRY(
      reply, Receive(*session, aEndpoint, aRequest, mClock, aDeadline));
    mBytesTransferred +=
      aRequest.mBody.size() + reply.mBody.size() + kEstimatedHeaderBytes;
    if (session->connected() && !session->HasUnreadBytes()) {
      mPool.Release(aEndpoint, std::move(session));
    }
    return std::move(reply);
  } catch (const Poco::TimeoutException&) {
    return TimedOut(aEndpoint);
  } catch (const Poco::Net::MessageException& e) {
    return Failure{ Error::ReplyInvalid,
                    ToString(aEndpoint) + ": " + e.displayText(),
                    "" };
  } catch (const Poco::Exception& e) {
    return Failure{ Error::ReplyTruncated,
                    ToString(aEndpoint) + ": " + e.displayText(),
                    "" };
  }
}

uint64_t
HttpClient::BytesTransferred() const
{
  return mBytesTransferred;
}

} // namespace hibiscushold
