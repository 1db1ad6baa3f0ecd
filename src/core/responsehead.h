#pragma once

#include "core/errors.h"
#include "core/headsyntax.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hibiscushold {

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

} // namespace hibiscushold
