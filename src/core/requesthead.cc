#include "core/requesthead.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr std::string_view kHttp11 = "HTTP/1.1";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kUriMarks = "-._~:/?[]@!$&'()*+,;=";
constexpr std::string_view kHostMarks = "-._~!$&'()*+,;=:[]";
constexpr size_t kEscapeLength = 3; ///< of '%' and its two digits

Failure
Invalid(std::string aWhy)
{
  return { Error::HeadInvalid, std::move(aWhy), "" };
}

bool
IsHexDigit(char aByte)
{
  const char lower = static_cast<char>(aByte | 0x20);
  return (aByte >= '0' && aByte <= '9') || (lower >= 'a' && lower <= 'f');
}

bool
IsAlphanumeric(char aByte)
{
  const char lower = static_cast<char>(aByte | 0x20);
  return (aByte >= '0' && aByte <= '9') || (lower >= 'a' && lower <= 'z');
}

/// @return whether the text consists of letters, digits, the marks and escapes
bool
ConsistsOf(std::string_view aText, std::string_view aMarks)
{
  for (size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%') {
      const std::string_view escape = aText.substr(n, kEscapeLength);
      if (escape.size() < kEscapeLength || !IsHexDigit(escape[1]) ||
          !IsHexDigit(escape[2])) {
        return false;
      }
    } else if (!IsAlphanumeric(aText[n]) &&
               aMarks.find(aText[n]) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string
FieldOf(const RequestHead& aHead, std::string_view aName)
{
  return FindField(aHead.mFields, aName).value_or("");
}

bool
HasField(const RequestHead& aHead, std::string_view aName)
{
  return CountFields(aHead.mFields, aName) > 0;
}

bool
IsRequestUri(std::string_view aText)
{
  return !aText.empty() && ConsistsOf(aText, kUriMarks);
}

Result<bool>
RequestHeadParser::Add(char aByte)
{
  if (++mBytes > mMaxBytes) {
    return Failure{ Error::HeadTooLarge,
                    "the limit is " + std::to_string(mMaxBytes) + " bytes",
                    "" };
  }
  if (aByte != '\n') {
    mLine += aByte;
    return false;
  }
  if (!mLine.ends_with('\r')) {
    return Invalid("a line of the head has no end");
  }
  mLine.pop_back();
  BOOST_OUTCOME_TRY(isComplete, AddLine(mLine));
  mLine.clear();
  mIsComplete = isComplete;
  return isComplete;
}

bool
RequestHeadParser::IsWithinHead() const
{
  return (mHasRequestLine || !mLine.empty()) && !mIsComplete;
}

Result<bool>
RequestHeadParser::AddLine(std::string_view aLine)
{
  if (!mHasRequestLine) {
    if (aLine.empty()) {
      return false; // some callers send one after a body (RFC 9112, 2.2)
    }
    BOOST_OUTCOME_TRY(ParseRequestLine(aLine));
    mHasRequestLine = true;
    return false;
  }
  if (aLine.empty()) {
    BOOST_OUTCOME_TRY(Complete());
    return true;
  }
  BOOST_OUTCOME_TRY(field, ParseFieldLine(aLine));
  mHead.mFields.push_back(std::move(field));
  return false;
}

Result<void>
RequestHeadParser::ParseRequestLine(std::string_view aLine)
{
  const size_t method = aLine.find(' ');
  const size_t version = aLine.rfind(' ');
  if (method == std::string_view::npos || method == version) {
    return Invalid("the first line is not method, path and version");
  }
  mHead.mMethod = aLine.substr(0, method);
  mHead.mUri = aLine.substr(method + 1, version - method - 1);
  const std::string_view versionText = aLine.substr(version + 1);
  if (versionText != kHttp11 && versionText != kHttp10) {
    return Invalid("the version is not HTTP/1.1 or HTTP/1.0");
  }
  mHead.mIsHttp10 = versionText == kHttp10;
  if (!IsToken(mHead.mMethod)) {
    return Invalid("the method has an invalid character");
  }
  if (!IsRequestUri(mHead.mUri)) {
    return Invalid("the path or query has an invalid character");
  }
  return boost::outcome_v2::success();
}

Result<void>
RequestHeadParser::Complete()
{
  BOOST_OUTCOME_TRY(CheckHost());
  FramingFields fields = FramingFieldsOf(mHead.mFields);
  BOOST_OUTCOME_TRY(framing, ParseFraming(fields, mHead.mIsHttp10));
  mHead.mFraming = framing.mFraming;
  mHead.mLength = framing.mLength;
  mHead.mKeepsConnection = KeepsConnection(fields, mHead.mIsHttp10);
  mHead.mExpectsContinue =
    !mHead.mIsHttp10 &&
    ToLowerAscii(FieldOf(mHead, "Expect")) == "100-continue";
  mHead.mConnectionOptions = std::move(fields.mOptions);
  mHead.mBytes = mBytes;
  return boost::outcome_v2::success();
}

Result<void>
RequestHeadParser::CheckHost() const
{
  const size_t n = CountFields(mHead.mFields, "Host");
  if (n > 1 || (n == 0 && !mHead.mIsHttp10)) {
    return Invalid("the head has no field Host, or several");
  }
  if (!ConsistsOf(FieldOf(mHead, "Host"), kHostMarks)) {
    return Invalid("Host has an invalid character");
  }
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
