#include "core/headsyntax.h"

#include "core/number.h"

#include <algorithm>

namespace hibiscushold {

namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::string_view kBlanks = " \t";

Failure
Invalid(std::string aWhy)
{
  return { Error::HeadInvalid, std::move(aWhy), "" };
}

/// @return whether the byte may be part of a token
bool
IsTokenByte(char aByte)
{
  const char lower = static_cast<char>(aByte | 0x20);
  return (aByte >= '0' && aByte <= '9') || (lower >= 'a' && lower <= 'z') ||
         kTokenMarks.find(aByte) != std::string_view::npos;
}

/// @return whether the byte may be part of a field's value or a reason phrase
bool
IsTextByte(char aByte)
{
  const auto value = static_cast<unsigned char>(aByte);
  return aByte == '\t' || (value >= 0x20 && value != 0x7f);
}

void
AddOptions(std::string_view aValue, std::vector<std::string>& aInto)
{
  while (!aValue.empty()) {
    const size_t end = std::min(aValue.find(','), aValue.size());
    aInto.push_back(ToLowerAscii(TrimBlanks(aValue.substr(0, end))));
    aValue.remove_prefix(std::min(end + 1, aValue.size()));
  }
}

bool
HasOption(const FramingFields& aFields, std::string_view aName)
{
  return std::find(aFields.mOptions.begin(), aFields.mOptions.end(), aName) !=
         aFields.mOptions.end();
}

} // namespace

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

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenByte);
}

bool
IsFieldText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), IsTextByte);
}

std::string_view
TrimBlanks(std::string_view aText)
{
  const size_t start = aText.find_first_not_of(kBlanks);
  if (start == std::string_view::npos) {
    return {};
  }
  return aText.substr(start, aText.find_last_not_of(kBlanks) - start + 1);
}

std::string
ToLowerAscii(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte | 0x20)
                                        : aByte;
  });
  return lower;
}

Result<HttpField>
ParseFieldLine(std::string_view aLine)
{
  const size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name)) {
    return Invalid("a line of the head names no field");
  }
  const std::string_view value = TrimBlanks(aLine.substr(colon + 1));
  if (!IsFieldText(value)) {
    return Invalid("the value of a field has a control byte");
  }
  return HttpField{ std::string(name), std::string(value) };
}

FramingFields
FramingFieldsOf(std::span<const HttpField> aFields)
{
  FramingFields fields;
  for (const HttpField& it : aFields) {
    const std::string name = ToLowerAscii(it.mName);
    if (name == "content-length") {
      fields.mLengths.push_back(it.mValue);
    } else if (name == "transfer-encoding") {
      fields.mEncodings.push_back(ToLowerAscii(it.mValue));
    } else if (name == "connection") {
      AddOptions(it.mValue, fields.mOptions);
    }
  }
  return fields;
}

bool
KeepsConnection(const FramingFields& aFields, bool aIsHttp10)
{
  return !HasOption(aFields, "close") &&
         (!aIsHttp10 || HasOption(aFields, "keep-alive"));
}

Result<FieldFraming>
ParseFraming(const FramingFields& aFields, bool aIsHttp10)
{
  if (aFields.mLengths.size() + aFields.mEncodings.size() > 1) {
    return Invalid("the body has several lengths or encodings "
                   "(Content-Length, Transfer-Encoding)");
  }
  if (!aFields.mEncodings.empty()) {
    if (aIsHttp10 || aFields.mEncodings[0] != "chunked") {
      return Invalid("Transfer-Encoding is not chunked of HTTP/1.1");
    }
    return FieldFraming{ BodyFraming::Chunked, 0 };
  }
  if (aFields.mLengths.empty()) {
    return FieldFraming{};
  }
  FieldFraming framing{ BodyFraming::Length, 0 };
  if (!ParseNumber(aFields.mLengths[0], framing.mLength)) {
    return Invalid("Content-Length is not one whole number");
  }
  return framing;
}

} // namespace hibiscushold
