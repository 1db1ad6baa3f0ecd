#include "core/responsehead.h"

#include "core/number.h"

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

Failure
Invalid(std::string aWhy)
{
  return { Error::ReplyInvalid, std::move(aWhy), "" };
}

/// Determines the framing from the fields of a head.
Result<void>
SetFraming(ResponseHead& aHead, bool aIsHttp10, bool aIsBodyless)
{
  const FramingFields fields = FramingFieldsOf(aHead.mFields);
  const Result<FieldFraming> framing = ParseFraming(fields, aIsHttp10);
  if (!framing) {
    return Invalid(framing.error().mDetail);
  }
  aHead.mFraming = framing.value().mFraming;
  aHead.mLength = framing.value().mLength;
  aHead.mKeepsConnection = KeepsConnection(fields, aIsHttp10);
  if (aIsBodyless || aHead.mStatus < 200 || aHead.mStatus == 204 ||
      aHead.mStatus == 304) {
    aHead.mFraming = BodyFraming::None;
  } else if (aHead.mFraming == BodyFraming::None) {
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
  Result<HttpField> field = ParseFieldLine(aLine);
  if (!field) {
    return Invalid(field.error().mDetail);
  }
  mHead.mFields.push_back(std::move(field.value()));
  return false;
}

} // namespace hibiscushold
