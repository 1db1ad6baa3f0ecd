#include "rules/attributes.h"

#include "core/number.h"

#include <array>
#include <sstream>

namespace hibiscushold::detail {

namespace {

constexpr std::array<std::string_view, 7> kDayNames = { "Mon", "Tue", "Wed",
                                                        "Thu", "Fri", "Sat",
                                                        "Sun" };
constexpr uint32_t kMaxTimeoutMillis = 3600000;

/// @return the index of the day counted from Monday as 0, or -1 if unknown
int
DayIndex(std::string_view aName)
{
  for (size_t i = 0; i < kDayNames.size(); ++i) {
    if (kDayNames[i] == aName) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

/// Parses a range of days such as "Mon-Fri", which may wrap past Sunday, or one
/// day such as "Sat".
/// @return the bit mask, in which bit 0 is Monday, or 0 if malformed
uint32_t
ParseDayRange(std::string_view aText)
{
  const size_t dash = aText.find('-');
  const int from = DayIndex(aText.substr(0, dash));
  const int to =
    dash == std::string_view::npos ? from : DayIndex(aText.substr(dash + 1));
  if (from < 0 || to < 0) {
    return 0;
  }
  uint32_t days = 0;
  for (int day = from;; day = (day + 1) % 7) {
    days |= 1U << static_cast<unsigned>(day);
    if (day == to) {
      return days;
    }
  }
}

} // namespace

AttributeReader::AttributeReader(const IniLine& aLine,
                                 std::vector<LineError>& aFaults)
  : mLine(aLine)
  , mFaults(aFaults)
{
  std::istringstream words(aLine.mValue);
  std::string word;
  while (words >> word) {
    const size_t colon = word.find(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == word.size()) {
      AddFault(Error::RuleInvalid,
               "'" + word + "' is not key:value",
               "write it as key:value");
      continue;
    }
    std::string key = word.substr(0, colon);
    for (const Attribute& earlier : mAttributes) {
      if (earlier.mKey == key) {
        AddFault(
          Error::RuleInvalid, "'" + key + "' is given twice", "keep one");
      }
    }
    mAttributes.push_back({ std::move(key), word.substr(colon + 1) });
  }
}

void
AttributeReader::ReadText(std::string_view aKey, std::string& aField)
{
  ConsumeAttribute(aKey, aField);
}

void
AttributeReader::ReadRequiredText(std::string_view aKey, std::string& aField)
{
  if (!ConsumeAttribute(aKey, aField)) {
    AddFault(Error::RuleInvalid,
             "'" + std::string(aKey) + "' is missing",
             "add " + std::string(aKey) + ":VALUE");
  }
}

void
AttributeReader::ReadCount(std::string_view aKey,
                           uint32_t& aField,
                           uint32_t aLow,
                           uint32_t aHigh)
{
  std::string value;
  if (!ConsumeAttribute(aKey, value)) {
    return;
  }
  uint32_t number = 0;
  if (!ParseNumber(std::string_view(value), number) || number < aLow ||
      number > aHigh) {
    AddInvalidValueFault(aKey,
                         value,
                         "give a whole number from " + std::to_string(aLow) +
                           " to " + std::to_string(aHigh));
    return;
  }
  aField = number;
}

void
AttributeReader::ReadRate(std::string_view aKey, double& aField)
{
  std::string value;
  if (!ConsumeAttribute(aKey, value)) {
    return;
  }
  uint32_t number = 0;
  const size_t slash = value.find('/');
  const std::string unit =
    slash == std::string::npos ? "" : value.substr(slash);
  const bool ok =
    ParseNumber(std::string_view(value).substr(0, slash), number) &&
    number > 0 && (unit == "/s" || unit == "/min");
  if (!ok) {
    AddInvalidValueFault(
      aKey, value, "write a number and /s or /min, such as 20/s");
    return;
  }
  aField = unit == "/s" ? number : number / 60.0;
}

void
AttributeReader::ReadDuration(std::string_view aKey, milliseconds& aField)
{
  std::string value;
  if (!ConsumeAttribute(aKey, value)) {
    return;
  }
  uint32_t number = 0;
  uint32_t millisPerUnit = 0;
  std::string_view digits = value;
  if (value.ends_with("ms")) {
    millisPerUnit = 1;
    digits.remove_suffix(2);
  } else if (value.ends_with("s")) {
    millisPerUnit = 1000;
    digits.remove_suffix(1);
  }
  const bool ok = millisPerUnit != 0 && ParseNumber(digits, number) &&
                  number > 0 && number <= kMaxTimeoutMillis / millisPerUnit;
  if (!ok) {
    AddInvalidValueFault(
      aKey, value, "write 1ms to 3600s, with the unit ms or s");
    return;
  }
  aField = milliseconds(int64_t{ number } * millisPerUnit);
}

void
AttributeReader::ReadYesNo(std::string_view aKey, bool& aField)
{
  ReadChoice<bool>(aKey, aField, { { "yes", true }, { "no", false } });
}

void
AttributeReader::ReadDays(std::string_view aKey, uint32_t& aField)
{
  std::string value;
  if (!ConsumeAttribute(aKey, value)) {
    return;
  }
  uint32_t days = 0;
  std::istringstream parts(value);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const uint32_t range = ParseDayRange(part);
    if (range == 0) {
      AddInvalidValueFault(
        aKey, value, "write days such as Mon-Fri or Sat,Sun");
      return;
    }
    days |= range;
  }
  aField = days;
}

void
AttributeReader::ReadHours(std::string_view aKey,
                           uint32_t& aFrom,
                           uint32_t& aTo)
{
  std::string value;
  if (!ConsumeAttribute(aKey, value)) {
    return;
  }
  const std::string_view text = value;
  const size_t dash = text.find('-');
  uint32_t from = 0;
  uint32_t to = 0;
  const bool ok =
    dash != std::string_view::npos && ParseNumber(text.substr(0, dash), from) &&
    ParseNumber(text.substr(dash + 1), to) && from < to && to <= 24;
  if (!ok) {
    AddInvalidValueFault(
      aKey, value, "write FROM-TO within 00-24, such as 05-13");
    return;
  }
  aFrom = from;
  aTo = to;
}

void
AttributeReader::ReportUnknown()
{
  for (const Attribute& it : mAttributes) {
    if (!it.mConsumed) {
      AddFault(Error::RuleInvalid,
               "unknown attribute '" + it.mKey + "'",
               "did you mean " + NearestName(it.mKey, mKnownKeys) + "?");
    }
  }
}

bool
AttributeReader::ConsumeAttribute(std::string_view aKey, std::string& aValue)
{
  mKnownKeys.emplace_back(aKey);
  for (Attribute& it : mAttributes) {
    if (it.mKey == aKey) {
      it.mConsumed = true;
      aValue = it.mValue;
      return true;
    }
  }
  return false;
}

void
AttributeReader::AddInvalidValueFault(std::string_view aKey,
                                      std::string_view aValue,
                                      std::string aRemedy)
{
  AddFault(Error::RuleInvalid,
           "'" + std::string(aKey) + ":" + std::string(aValue) + "' is invalid",
           std::move(aRemedy));
}

void
AttributeReader::AddFault(Error aError,
                          std::string aDetail,
                          std::string aRemedy)
{
  Failure failure{ aError,
                   "rule '" + mLine.mName + "': " + std::move(aDetail),
                   std::move(aRemedy) };
  mFaults.push_back({ mLine.mLine, std::move(failure) });
}

} // namespace hibiscushold::detail
