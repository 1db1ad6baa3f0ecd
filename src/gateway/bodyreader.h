#pragma once

#include "core/sessionpool.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <functional>
#include <span>

namespace hibiscushold {

/// How the end of a body is determined.
enum class BodyFraming
{
  None,       ///< there is no body
  Length,     ///< by Content-Length
  Chunked,    ///< by the zero-length last chunk
  UntilClose, ///< by the end of the connection
};

/// @return the stable name of the framing, for logs
const char*
NameOf(BodyFraming aFraming);

/// Reads bytes from a connection.
/// @return bytes read, 0 at the end of the connection
/// @throw Poco::Exception when the connection fails
using RawReader = std::function<size_t(std::span<char>)>;

/// Reads the body of a request or response and detects truncation, which POCO's
/// streams report as a normal end of stream.
class BodyReader
{
public:
  /// @param aRead reads the bytes after the head
  /// @param aLength length of the body, for BodyFraming::Length
  BodyReader(RawReader aRead, BodyFraming aFraming, uint64_t aLength);

  /// @param aHead the response head, already read from aSession
  /// @param aNoBody true if responses to the request never have a body (HEAD)
  /// @throw Poco::Exception if the body framing in the head is invalid
  BodyReader(HttpSession& aSession,
             const Poco::Net::HTTPResponse& aHead,
             bool aNoBody);

  /// Reads the next bytes of the body, without the chunk framing.
  /// @return number of bytes read, 0 at the end of the body
  /// @throw Poco::Exception if the body is truncated or malformed
  size_t Read(std::span<char> aInto);

  BodyFraming Framing() const { return mFraming; }

  /// @return whether the body was read to its end
  bool IsComplete() const { return mComplete; }

  /// @return whether the connection can be reused once the body was read
  bool KeepsConnectionOpen() const
  {
    return mFraming != BodyFraming::UntilClose;
  }

private:
  size_t ReadAvailable(std::span<char> aInto);
  char ReadByte();
  uint64_t ReadChunkSize();
  void ReadLineEnd();
  void ReadTrailers();
  size_t ReadChunked(std::span<char> aInto);

  const RawReader mRead;
  BodyFraming mFraming = BodyFraming::None;
  uint64_t mRemaining = 0; ///< bytes left of the body, or of the current chunk
  bool mFirstChunkSeen = false;
  bool mComplete = false;
};

} // namespace hibiscushold
