#pragma once

#include "core/responsehead.h"
#include "core/sessionpool.h"

#include <cstdint>
#include <functional>
#include <span>

namespace hibiscushold {

/// Reads bytes from a connection.
/// @return bytes read, 0 at the orderly end of the connection
/// @throw Poco::Exception when the connection fails
using RawReader = std::function<size_t(std::span<char>)>;

/// Reads the body of a request or response and detects truncation, which POCO's
/// streams report as a normal end of stream. A body is complete with its last
/// byte or chunk. One whose end only the connection marks is complete if the
/// peer has ended the connection in order; a reset or any other failure cuts it
/// off (RFC 9112, section 8).
class BodyReader
{
public:
  /// @param aRead reads the bytes after the head
  /// @param aLength length of the body, for BodyFraming::Length
  BodyReader(RawReader aRead, BodyFraming aFraming, uint64_t aLength);

  /// @param aHead the response head, already read from aSession
  BodyReader(HttpSession& aSession, const ResponseHead& aHead);

  /// Reads the next bytes of the body, without the chunk framing.
  /// @return number of bytes read, 0 at the end of the body
  /// @throw Poco::Exception if the body is truncated or malformed
  size_t Read(std::span<char> aInto);

  /// @return whether the body was read to its end
  bool IsComplete() const { return mComplete; }

  /// @return whether the body itself tells where it ends
  bool MarksItsEnd() const { return mFraming != BodyFraming::UntilClose; }

private:
  size_t ReadAvailable(std::span<char> aInto);
  char ReadByte();
  /// @return a line without its end, of at most aMaxBytes
  std::string ReadLine(size_t aMaxBytes);
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
