#pragma once

#include "core/errors.h"
#include "core/httpfield.h"

#include <cstdint>
#include <span>
#include <string>
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

/// @return whether the text is a token, such as a method or a field's name
bool
IsToken(std::string_view aText);

/// A field's value may have tabs, but no other control bytes.
/// @param aText the value or a part of it
/// @return whether the text may be one
bool
IsFieldText(std::string_view aText);

/// @return the text without blanks and tabs at both ends
std::string_view
TrimBlanks(std::string_view aText);

/// @return the text with ASCII letters in lower case
std::string
ToLowerAscii(std::string_view aText);

/// Checks the field line of a head or of the trailers of a chunked body.
/// @param aLine without its end
/// @return the field, or HeadInvalid
Result<HttpField>
ParseFieldLine(std::string_view aLine);

/// The fields that decide the framing of a body and the use of its connection.
struct FramingFields
{
  std::vector<std::string> mLengths;
  std::vector<std::string> mEncodings; ///< in lower case
  std::vector<std::string> mOptions;   ///< of the connection, in lower case
};

FramingFields
FramingFieldsOf(std::span<const HttpField> aFields);

/// @param aIsHttp10 whether the head is of HTTP/1.0
/// @return whether another message may follow on the connection
bool
KeepsConnection(const FramingFields& aFields, bool aIsHttp10);

/// Where a body ends by the fields of its head.
struct FieldFraming
{
  BodyFraming mFraming = BodyFraming::None; ///< Length, Chunked, or no field
  uint64_t mLength = 0;                     ///< for BodyFraming::Length
};

/// Determines the framing. Fields that contradict each other are refused, as
/// another reader may go by the other one (request smuggling).
/// @param aIsHttp10 whether the head is of HTTP/1.0, which knows no chunks
/// @return the framing, or HeadInvalid
Result<FieldFraming>
ParseFraming(const FramingFields& aFields, bool aIsHttp10);

} // namespace hibiscushold
