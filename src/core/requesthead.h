#pragma once

#include "core/errors.h"
#include "core/headsyntax.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

/// The head of a request, which keeps to the grammar of HTTP/1.1 (RFC 9112).
/// All parts have the bytes that were received; nothing is decoded.
struct RequestHead
{
  std::string mMethod;
  std::string mUri; ///< the request target: path and query, as sent
  std::vector<HttpField> mFields; ///< in the order received
  size_t mBytes = 0;              ///< of the whole head
  BodyFraming mFraming = BodyFraming::None;
  uint64_t mLength = 0; ///< of the body, for BodyFraming::Length
  bool mIsHttp10 = false;
  bool mKeepsConnection = false; ///< another request may follow
  bool mExpectsContinue = false; ///< the body waits for status 100
  std::vector<std::string> mConnectionOptions; ///< in lower case
};

/// @return the value of the first field of that name in any case, or an empty
///         text
std::string
FieldOf(const RequestHead& aHead, std::string_view aName);

/// @return whether the head has a field of that name in any case
bool
HasField(const RequestHead& aHead, std::string_view aName);

/// @return whether the text may be the target of a request: only the visible
///         characters of a URI, without a fragment, and '%' only before two
///         hexadecimal digits (RFC 3986)
bool
IsRequestUri(std::string_view aText);

/// Parses the head of a request byte by byte. All ports that read requests use
/// it, so what it refuses is no request for any of them: where it ends, and
/// what a target would make of it, can't be relied on.
class RequestHeadParser
{
public:
  /// @param aMaxBytes of the head, with its first and its empty line
  explicit RequestHeadParser(size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Adds a byte of the head. Empty lines before it are skipped, but count.
  /// @return whether the head is complete, or HeadInvalid, or HeadTooLarge
  Result<bool> Add(char aByte);

  /// @return whether a byte of a head was added, other than of empty lines
  ///         before it, and the head isn't complete
  bool IsWithinHead() const;

  /// @return the head, which must be complete; the parser can't be used
  ///         afterwards
  RequestHead TakeHead() { return std::move(mHead); }

private:
  Result<bool> AddLine(std::string_view aLine);
  Result<void> ParseRequestLine(std::string_view aLine);
  Result<void> Complete();
  Result<void> CheckHost() const;

  const size_t mMaxBytes;
  std::string mLine; ///< without its end
  size_t mBytes = 0;
  bool mHasRequestLine = false;
  bool mIsComplete = false;
  RequestHead mHead;
};

} // namespace hibiscushold
