#pragma once

#include "core/bodyreader.h"
#include "core/clock.h"
#include "core/requesthead.h"

#include <Poco/Net/HTTPServerSession.h>

#include <optional>
#include <span>

namespace hibiscushold {

/// This process's end of a connection on which requests arrive. Requests are
/// read with ReceiveHead and a BodyReader only, as POCO's own parser decodes
/// values and takes much for a request that is none.
class ServerSession final : public Poco::Net::HTTPServerSession
{
public:
  ServerSession(const Poco::Net::StreamSocket& aSocket, const Clock& aClock);

  /// @return whether the receive buffer of the session holds unread bytes
  bool HasUnreadBytes() const { return buffered() > 0; }

  /// Waits until a byte of the next request arrives.
  /// @return false if none did by the deadline
  bool WaitForBytes(TimePoint aDeadline);

  /// Ends all further reads at aDeadline.
  void SetDeadline(TimePoint aDeadline) { mDeadline = aDeadline; }

  /// Receives the head of the next request, in any number of packets.
  /// @param aMaxBytes of the head
  /// @return the head, nothing if the peer has closed the connection before a
  ///         request, or HeadInvalid, or HeadTooLarge
  /// @throw Poco::Exception when the connection fails or the deadline passes
  Result<std::optional<RequestHead>> ReceiveHead(size_t aMaxBytes);

  /// Reads the bytes after the head of a request without decoding its framing.
  /// @return bytes read, 0 at the end of the connection
  /// @throw Poco::Exception when the connection fails or the deadline passes
  size_t ReadRaw(std::span<char> aBuffer);

private:
  const Clock& mClock;
  TimePoint mDeadline = TimePoint::max();
};

/// A request that is being received.
class ServerRequest
{
public:
  /// @param aHead already read from aSession
  ServerRequest(ServerSession& aSession, RequestHead aHead);

  const RequestHead& Head() const { return mHead; }

  /// @return the reader of the body. Unless it has read the whole body, no
  ///         other request can follow on the connection.
  BodyReader& Body() { return mBody; }

  ServerSession& Session() { return mSession; }

private:
  ServerSession& mSession;
  const RequestHead mHead;
  BodyReader mBody;
};

} // namespace hibiscushold
