#include "core/serversession.h"

#include "core/sessionpool.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>

namespace hibiscushold {

namespace {

/// Shorter reads go through the session's buffer.
constexpr size_t kMinDirectBytes = 4096;

} // namespace

ServerSession::ServerSession(const Poco::Net::StreamSocket& aSocket,
                             const Clock& aClock)
  : HTTPServerSession(aSocket, new Poco::Net::HTTPServerParams)
  , mClock(aClock)
{
}

bool
ServerSession::WaitForBytes(TimePoint aDeadline)
{
  if (HasUnreadBytes()) {
    return true;
  }
  const Duration left = TimeLeft(aDeadline, mClock.Now());
  return left > Duration::zero() &&
         socket().poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ);
}

Result<std::optional<RequestHead>>
ServerSession::ReceiveHead(size_t aMaxBytes)
{
  RequestHeadParser parser(aMaxBytes);
  char byte = 0;
  while (ReadRaw({ &byte, 1 }) == 1) {
    BOOST_OUTCOME_TRY(isComplete, parser.Add(byte));
    if (isComplete) {
      return std::optional(parser.TakeHead());
    }
  }
  if (parser.IsWithinHead()) {
    return Failure{ Error::HeadInvalid, "the head was cut off", "" };
  }
  return std::optional<RequestHead>();
}

size_t
ServerSession::ReadRaw(std::span<char> aBuffer)
{
  if (!HasUnreadBytes()) {
    // A deadline for the whole: a peer that sends single bytes at intervals
    // could otherwise hold its connection for ever.
    if (mDeadline != TimePoint::max()) {
      const Duration left = TimeLeft(mDeadline, mClock.Now());
      if (left == Duration::zero()) {
        throw Poco::TimeoutException("no time is left");
      }
      socket().setReceiveTimeout(ToTimespan(left));
    }
    if (aBuffer.size() < kMinDirectBytes) {
      refill();
      if (!HasUnreadBytes()) {
        return 0;
      }
    }
  }
  const int n =
    read(aBuffer.data(), static_cast<std::streamsize>(aBuffer.size()));
  return n > 0 ? static_cast<size_t>(n) : 0;
}

ServerRequest::ServerRequest(ServerSession& aSession, RequestHead aHead)
  : mSession(aSession)
  , mHead(std::move(aHead))
  , mBody(
      [&aSession](std::span<char> aInto) { return aSession.ReadRaw(aInto); },
      mHead.mFraming,
      mHead.mLength)
{
}

} // namespace hibiscushold
