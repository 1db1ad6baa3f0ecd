#pragma once

#include "core/errors.h"
#include "core/httpfield.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

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

/// The head of a response, which keeps to the grammar of HTTP/1.1 (RFC 9112).
struct ResponseHead
{
  int mStatus = 0; ///< 100 to 599
  std::vector<HttpField> mFields;
  BodyFraming mFraming = BodyFraming::None;
  uint64_t mLength = 0;          ///< of the body, for BodyFraming::Length
  bool mKeepsConnection = false; ///< another response may follow
};

/// @return the value of the first field of that name in any case, or nothing
std::optional<std::string>
FindField(const ResponseHead& aHead, std::string_view aName);

/// @return the value of Content-Type, empty if there is none
std::string
ContentTypeOf(const ResponseHead& aHead);

/// @return whether the final response is still to come
bool
IsInterim(const ResponseHead& aHead);

/// Parses the head of a response line by line. All readers of responses use it,
/// so what it refuses is no response for any of them: its framing can't be
/// relied on, nor whose it is.
class ResponseHeadParser
{
public:
  /// @param aIsBodyless whether the response has no body in any case (to HEAD)
  explicit ResponseHeadParser(bool aIsBodyless)
    : mIsBodyless(aIsBodyless)
  {
  }

  /// Adds a byte of the head.
  /// @return whether the head is complete, or ReplyInvalid
  Result<bool> Add(char aByte);

  /// @return whether a byte of a head was added and the head isn't complete
  bool IsWithinHead() const { return mBytes > 0 && !mIsComplete; }

  /// @return the complete head
  const ResponseHead& Head() const { return mHead; }

private:
  Result<bool> AddLine(std::string_view aLine);

  bool mIsBodyless;
  std::string mLine; ///< without its end
  size_t mBytes = 0;
  bool mHasStatus = false;
  bool mIsHttp10 = false;
  bool mIsComplete = false;
  ResponseHead mHead;
};

/// A field's value may have tabs, but no other control bytes.
/// @param aText the value or a part of it
/// @return whether the text may be one
bool
IsFieldText(std::string_view aText);

/// Checks the field line of a head or of the trailers of a chunked body.
/// @param aLine without its end
/// @return the field, or ReplyInvalid
Result<HttpField>
ParseFieldLine(std::string_view aLine);

} // namespace hibiscushold
