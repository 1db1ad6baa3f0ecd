#pragma once

#include "core/ini.h"
#include "rules/rules.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold::detail {

/// Parses the "key:value" attributes of one rule line into typed fields and
/// adds a fault for each attribute that is unknown, repeated or malformed.
///
/// Each Read function looks up the attribute aKey. If it is absent or invalid,
/// the field keeps its value; an invalid value also adds a fault.
class AttributeReader
{
public:
  /// Splits the line into attributes.
  /// @param aLine the rule line; must outlive the reader
  /// @param aFaults receives the faults; must outlive the reader
  AttributeReader(const IniLine& aLine, std::vector<LineError>& aFaults);

  void ReadText(std::string_view aKey, std::string& aField);
  /// Reads a text; an absent attribute is a fault.
  void ReadRequiredText(std::string_view aKey, std::string& aField);
  /// Reads a whole number from aLow to aHigh, both inclusive.
  void ReadCount(std::string_view aKey,
                 uint32_t& aField,
                 uint32_t aLow,
                 uint32_t aHigh);
  /// Reads a rate such as "20/s" or "90/min" as a number per second.
  void ReadRate(std::string_view aKey, double& aField);
  /// Reads a duration from 1ms to 3600s, with the unit ms or s.
  void ReadDuration(std::string_view aKey, milliseconds& aField);
  void ReadYesNo(std::string_view aKey, bool& aField);
  /// Reads days such as "Mon-Fri" or "Sat,Sun" as a bit mask; bit 0 is Monday.
  void ReadDays(std::string_view aKey, uint32_t& aField);
  /// Reads a span of hours FROM-TO within 00-24; aTo is exclusive.
  void ReadHours(std::string_view aKey, uint32_t& aFrom, uint32_t& aTo);

  /// Reads one of a fixed set of words.
  /// @param aValues the words and the value that each stands for
  template<class T>
  void ReadChoice(std::string_view aKey,
                  T& aField,
                  const std::vector<std::pair<std::string, T>>& aValues)
  {
    std::string value;
    if (!ConsumeAttribute(aKey, value)) {
      return;
    }
    std::vector<std::string> words;
    for (const auto& [word, parsed] : aValues) {
      if (word == value) {
        aField = parsed;
        return;
      }
      words.push_back(word);
    }
    AddInvalidValueFault(
      aKey, value, "did you mean " + NearestName(value, words) + "?");
  }

  /// Adds a fault for every attribute that no Read function has looked up. Call
  /// it after all of them.
  void ReportUnknown();

private:
  struct Attribute
  {
    std::string mKey;
    std::string mValue;
    bool mConsumed = false;
  };

  /// Looks up an attribute and marks it as consumed.
  /// @return whether the line has it; aValue holds its value then
  bool ConsumeAttribute(std::string_view aKey, std::string& aValue);
  void AddInvalidValueFault(std::string_view aKey,
                            std::string_view aValue,
                            std::string aRemedy);
  void AddFault(Error aError, std::string aDetail, std::string aRemedy);

  const IniLine& mLine;
  std::vector<LineError>& mFaults;
  std::vector<Attribute> mAttributes;
  std::vector<std::string> mKnownKeys;
};

} // namespace hibiscushold::detail
