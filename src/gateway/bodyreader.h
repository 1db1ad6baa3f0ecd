#pragma once

#include "core/sessionpool.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <span>

namespace hibiscushold {

/// How the end of a body is told.
enum class BodyEnd
{
  None,       ///< there is no body
  Length,     ///< after a number of bytes
  LastChunk,  ///< after the chunk of length zero
  Connection, ///< with the connection
};

/// Reads the body of an answer and knows whether it ended as it should; the
/// streams of POCO end quietly in either case.
class BodyReader
{
public:
  /// @param aNoBody the request was one whose answers have no body
  /// @throw Poco::Exception when the head frames no body in a valid way
  BodyReader(HttpSession& aSession,
             const Poco::Net::HTTPResponse& aHead,
             bool aNoBody);

  /// @return bytes read, 0 at the end of the body
  /// @throw Poco::Exception when the body is cut off or malformed
  size_t Read(std::span<char> aInto);

  /// @return whether the whole body was read
  bool IsWhole() const { return mWhole; }

  /// @return whether the connection can carry another answer after this one
  bool LeavesOpen() const { return mEnd != BodyEnd::Connection; }

private:
  size_t ReadSome(std::span<char> aInto);
  char ReadByte();
  uint64_t ReadChunkSize();
  void ReadLineEnd();
  void ReadTrailers();
  size_t ReadChunked(std::span<char> aInto);

  HttpSession& mSession;
  BodyEnd mEnd = BodyEnd::None;
  uint64_t mLeft = 0; ///< of the length, or of the chunk
  bool mInChunks = false;
  bool mWhole = false;
};

} // namespace hibiscushold
