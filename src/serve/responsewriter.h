#pragma once

#include "core/clock.h"
#include "core/httpfield.h"
#include "core/serversession.h"

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// Ends the sending side of a connection, then reads and discards what the peer
/// still sends, for a limited time and up to a limited size. Closing a
/// connection with unread bytes resets it, which can destroy a response that
/// the peer has not read yet.
void
DiscardUntilClosed(Poco::Net::StreamSocket& aSocket, const Clock& aClock);

/// Writes the response to one request. It writes to the socket directly instead
/// of using POCO's response stream, which would terminate a truncated response
/// as if it were complete.
class ResponseWriter
{
public:
  /// @param aHead head of the request; its connection is kept if it says so
  ResponseWriter(ServerSession& aSession, const RequestHead& aHead);

  /// @return whether another request may follow on the connection
  bool KeepsConnection() const { return mKeepsConnection; }

  /// Must precede the response.
  void SetKeepsConnection(bool aKeeps) { mKeepsConnection = aKeeps; }

  /// Tells a caller that waits for it to send the body.
  void SendContinue();

  /// Sends a complete response. The body is left out for HEAD requests and for
  /// status 204 and 304.
  /// @return false if the connection failed
  bool SendComplete(int aStatus,
                    const std::vector<HttpField>& aFields,
                    std::string_view aBody);

  /// Sends the head of a chunked response.
  /// @return false if the connection failed
  bool StartStream(int aStatus, const std::vector<HttpField>& aFields);
  /// Sends aBytes as one chunk; aBytes must not be empty.
  /// @return false if the connection failed
  bool SendChunk(std::string_view aBytes);
  /// Sends the last chunk, which marks the response as complete.
  /// @return false if the connection failed
  bool EndStream();

  /// Resets the connection, so that the caller sees a started response as
  /// truncated.
  void Abort();

  /// Ends a response without taking memory: refuses the request if no response
  /// has started, and cuts a started one. The connection can't be used
  /// afterwards.
  /// @param aMayHaveRun whether a target may have run the request
  void SendWithoutMemory(bool aMayHaveRun, const Clock& aClock) noexcept;

  /// Makes sure that a caller that is still sending its body receives the
  /// response, which must be complete. The connection can't be used afterwards.
  void DiscardRest(const Clock& aClock);

  /// @return whether a response head was sent or its sending was tried
  bool HasStarted() const { return mStarted; }
  /// A caller that has ended only its sending side can't be told from one that
  /// has closed the connection until a write fails, and a target must not work
  /// for the latter, so it counts as disconnected.
  /// @return whether the caller has closed or reset the connection
  bool IsCallerDisconnected() const;

private:
  /// @param aFraming the field that tells where the body ends, if any
  /// @throw Poco::Net::MessageException if a field can't be written
  std::string MakeHead(int aStatus,
                       const std::optional<HttpField>& aFraming,
                       const std::vector<HttpField>& aFields);
  bool Send(std::string_view aBytes);

  ServerSession& mSession;
  const bool mIsHead; ///< the response has no body, as the method is HEAD
  const std::string mVersion;
  bool mKeepsConnection;
  bool mStarted = false;
};

} // namespace hibiscushold
