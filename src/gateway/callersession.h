#pragma once

#include <Poco/Net/HTTPServerSession.h>

#include <span>

namespace hibiscushold {

/// The node's end of a caller's connection.
class CallerSession final : public Poco::Net::HTTPServerSession
{
public:
  using Poco::Net::HTTPServerSession::HTTPServerSession;

  /// @return whether the receive buffer of the session holds unread bytes
  bool HasUnreadBytes() const { return buffered() > 0; }

  /// Reads the bytes after the head of a request without decoding its framing.
  /// @return bytes read, 0 at the end of the connection
  /// @throw Poco::Exception when the connection fails or the socket's receive
  ///        timeout passes
  size_t ReadRaw(std::span<char> aBuffer)
  {
    const int n =
      read(aBuffer.data(), static_cast<std::streamsize>(aBuffer.size()));
    return n > 0 ? static_cast<size_t>(n) : 0;
  }
};

} // namespace hibiscushold
