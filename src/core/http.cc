#include "core/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <array>
#include <istream>
#include <ostream>

namespace hibiscushold {

namespace {

using Poco::Net::HTTPClientSession;

/// Estimate of the header bytes of a request and its reply, which aren't
/// counted.
constexpr uint64_t kEstimatedHeaderBytes = 200;

Failure
TimedOut(const Endpoint& aEndpoint)
{
  return { Error::TimedOut, ToString(aEndpoint), "" };
}

Result<void>
Send(HTTPClientSession& aSession, const HttpRequest& aRequest)
{
  Poco::Net::HTTPRequest head(
    aRequest.mMethod, aRequest.mPath, Poco::Net::HTTPMessage::HTTP_1_1);
  head.setKeepAlive(true);
  for (const HttpField& it : aRequest.mFields) {
    head.set(it.mName, it.mValue);
  }
  if (!aRequest.mBody.empty() || aRequest.mMethod != "GET") {
    head.setContentLength64(static_cast<int64_t>(aRequest.mBody.size()));
  }
  std::ostream& out = aSession.sendRequest(head);
  out.write(aRequest.mBody.data(),
            static_cast<std::streamsize>(aRequest.mBody.size()));
  out.flush();
  if (!out.good()) {
    return Failure{ Error::ReplyTruncated, "the request was cut off", "" };
  }
  return boost::outcome_v2::success();
}

/// Reads a reply. It must state its length, so that truncation is detected.
Result<HttpReply>
Receive(HTTPClientSession& aSession,
        const Endpoint& aEndpoint,
        size_t aMaxBytes,
        const Clock& aClock,
        TimePoint aDeadline)
{
  // The library bounds the number and the length of a head's fields.
  Poco::Net::HTTPResponse head;
  std::istream& in = aSession.receiveResponse(head);
  HttpReply reply;
  reply.mStatus = head.getStatus();
  for (const auto& [name, value] : head) {
    reply.mFields.push_back({ name, value });
  }
  const int64_t length = head.getContentLength64();
  if (length < 0 || length > static_cast<int64_t>(aMaxBytes)) {
    return Failure{ Error::ReplyInvalid,
                    ToString(aEndpoint) + ": no length, or over " +
                      std::to_string(aMaxBytes) + " bytes",
                    "" };
  }
  std::array<char, 16384> buf;
  while (in.good() && reply.mBody.size() < static_cast<size_t>(length)) {
    if (aClock.Now() >= aDeadline) {
      return TimedOut(aEndpoint);
    }
    in.read(buf.data(), buf.size());
    reply.mBody.append(buf.data(), static_cast<size_t>(in.gcount()));
  }
  if (reply.mBody.size() != static_cast<size_t>(length)) {
    return Failure{ Error::ReplyTruncated, ToString(aEndpoint), "" };
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
    BOOST_OUTCOME_TRY(Send(*session, aRequest));
    BOOST_OUTCOME_TRY(
      reply,
      Receive(*session, aEndpoint, aRequest.mMaxReplyBytes, mClock, aDeadline));
    mBytesTransferred +=
      aRequest.mBody.size() + reply.mBody.size() + kEstimatedHeaderBytes;
    if (session->connected()) {
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

std::optional<std::string>
FindField(const HttpReply& aReply, const std::string& aName)
{
  for (const HttpField& it : aReply.mFields) {
    if (Poco::icompare(it.mName, aName) == 0) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

uint64_t
HttpClient::BytesTransferred() const
{
  return mBytesTransferred;
}

} // namespace hibiscushold
