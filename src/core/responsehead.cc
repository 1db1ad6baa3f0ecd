#include "core/responsehead.h"

#include "core/number.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr size_t kMaxHeadBytes = 65536;
constexpr size_t kMaxFields = 100;
/// The only versions whose framing is known are HTTP/1.0 and HTTP/1.1.
constexpr std::string_view kVersionStart = "HTTP/1.";
/// Position and length of the status code in a status line.
constexpr size_t kStatusPosition = 9;
constexpr size_t kStatusLength = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::string_view kBlanks = " \t";

Failure
Invalid(std::string aWhy)
{
  return { Error::ReplyInvalid, std::move(aWhy), "" };
}

bool
IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

/// @return whether the byte may be part of a field's name
bool
IsTokenByte(char aByte)
{
  const char lower = static_cast<char>(aByte | 0x20);
  return IsDigit(aByte) || (lower >= 'a' && lower <= 'z') ||
         kTokenMarks.find(aByte) != std::string_view::npos;
}

/// @return whether the byte may be part of a field's value or a reason phrase
bool
IsTextByte(char aByte)
{
  const auto value = static_cast<unsigned char>(aByte);
  return aByte == '\t' || (value >= 0x20 && value != 0x7f);
}

std::string_view
Trim(std::string_view aText)
{
  const size_t start = aText.find_first_not_of(kBlanks);
  if (start == std::string_view::npos) {
    return {};
  }
  return aText.substr(start, aText.find_last_not_of(kBlanks) - start + 1);
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte | 0x20)
                                        : aByte;
  });
  return lower;
}

/// The fields that decide the framing of a body and the use of its connection.
struct FramingFields
{
  std::vector<std::string> mLengths;
  std::vector<std::string> mEncodings;
  bool mCloses = false;     ///< Connection has the option close
  bool mKeepsAlive = false; ///< Connection has the option keep-alive
};

void
AddOptions(std::string_view aValue, FramingFields& aInto)
{
  while (!aValue.empty()) {
    const size_t end = std::min(aValue.find(','), aValue.size());
    const std::string option = ToLower(Trim(aValue.substr(0, end)));
    aInto.mCloses = aInto.mCloses || option == "close";
    aInto.mKeepsAlive = aInto.mKeepsAlive || option == "keep-alive";
    aValue.remove_prefix(std::min(end + 1, aValue.size()));
  }
}

FramingFields
FramingFieldsOf(const ResponseHead& aHead)
{
  FramingFields fields;
  for (const HttpField& it : aHead.mFields) {
    const std::string name = ToLower(it.mName);
    if (name == "content-length") {
      fields.mLengths.push_back(it.mValue);
    } else if (name == "transfer-encoding") {
      fields.mEncodings.push_back(ToLower(it.mValue));
    } else if (name == "connection") {
      AddOptions(it.mValue, fields);
    }
  }
  return fields;
}

Result<uint64_t>
ParseLength(const std::string& aValue)
{
  uint64_t length = 0;
  if (!ParseNumber(aValue, length)) {
    return Invalid("the length of the body is no number");
  }
  return length;
}

/// Determines the framing from the fields of a head. Fields that contradict
/// each other are refused, as another reader may go by the other one.
Result<void>
SetFraming(ResponseHead& aHead, bool aIsHttp10, bool aIsBodyless)
{
  const FramingFields fields = FramingFieldsOf(aHead);
  if (fields.mLengths.size() + fields.mEncodings.size() > 1) {
    return Invalid("the body has several lengths or encodings");
  }
  if (!fields.mEncodings.empty() &&
      (aIsHttp10 || fields.mEncodings[0] != "chunked")) {
    return Invalid("unknown transfer encoding");
  }
  if (!fields.mLengths.empty()) {
    BOOST_OUTCOME_TRY(length, ParseLength(fields.mLengths[0]));
    aHead.mLength = length;
  }
  aHead.mKeepsConnection =
    !fields.mCloses && (!aIsHttp10 || fields.mKeepsAlive);
  if (aIsBodyless || aHead.mStatus < 200 || aHead.mStatus == 204 ||
      aHead.mStatus == 304) {
    aHead.mFraming = BodyFraming::None;
  } else if (!fields.mEncodings.empty()) {
    aHead.mFraming = BodyFraming::Chunked;
  } else if (!fields.mLengths.empty()) {
    aHead.mFraming = BodyFraming::Length;
  } else {
    aHead.mFraming = BodyFraming::UntilClose;
    aHead.mKeepsConnection = false;
  }
  return boost::outcome_v2::success();
}

/// @return the status, or ReplyInvalid
Result<int>
ParseStatusLine(std::string_view aLine)
{
  if (!aLine.starts_with(kVersionStart) ||
      aLine.size() < kStatusPosition + kStatusLength ||
      (aLine[kVersionStart.size()] != '0' &&
       aLine[kVersionStart.size()] != '1') ||
      aLine[kStatusPosition - 1] != ' ') {
    return Invalid("no status line of HTTP/1.1");
  }
  const std::string_view code = aLine.substr(kStatusPosition, kStatusLength);
  const std::string_view reason = aLine.substr(kStatusPosition + kStatusLength);
  int status = 0;
  if (!ParseNumber(code, status) || status < kMinStatus ||
      status > kMaxStatus) {
    return Invalid("the status is not one of 100 to 599");
  }
  if (status == kSwitchingProtocols) {
    return Invalid("a change of protocol that was not requested");
  }
  if (!reason.empty() && (reason[0] != ' ' || !IsFieldText(reason))) {
    return Invalid("an invalid reason phrase");
  }
  return status;
}

} // namespace

bool
IsFieldText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), IsTextByte);
}

const char*
NameOf(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      return "none";
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::UntilClose:
      return "until_close";
  }
  return "";
}

std::optional<std::string>
FindField(const ResponseHead& aHead, std::string_view aName)
{
  return FindField(std::span<const HttpField>(aHead.mFields), aName);
}

std::string
ContentTypeOf(const ResponseHead& aHead)
{
  return FindField(aHead, "Content-Type").value_or("");
}

bool
IsInterim(const ResponseHead& aHead)
{
  return aHead.mStatus < 200;
}

Result<bool>
ResponseHeadParser::Add(char aByte)
{
  if (++mBytes > kMaxHeadBytes) {
    return Invalid("the head is too long");
  }
  // A peer that speaks another protocol may never end its line.
  if (!mHasStatus && mBytes <= kVersionStart.size() &&
      aByte != kVersionStart[mBytes - 1]) {
    return Invalid("no status line of HTTP/1.1");
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

Result<bool>
ResponseHeadParser::AddLine(std::string_view aLine)
{
  if (!mHasStatus) {
    BOOST_OUTCOME_TRY(status, ParseStatusLine(aLine));
    mHead.mStatus = status;
    mIsHttp10 = aLine[kVersionStart.size()] == '0';
    mHasStatus = true;
    return false;
  }
  if (aLine.empty()) {
    BOOST_OUTCOME_TRY(SetFraming(mHead, mIsHttp10, mIsBodyless));
    return true;
  }
  if (mHead.mFields.size() == kMaxFields) {
    return Invalid("the head has too many fields");
  }
  BOOST_OUTCOME_TRY(field, ParseFieldLine(aLine));
  mHead.mFields.push_back(std::move(field));
  return false;
}

Result<HttpField>
ParseFieldLine(std::string_view aLine)
{
  const size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::all_of(name.begin(), name.end(), IsTokenByte)) {
    return Invalid("a line of the head names no field");
  }
  const std::string_view value = Trim(aLine.substr(colon + 1));
  if (!IsFieldText(value)) {
    return Invalid("the value of a field has a control byte");
  }
  return HttpField{ std::string(name), std::string(value) };
}

} // namespace hibiscushold
