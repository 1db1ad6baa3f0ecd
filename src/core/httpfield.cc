#include "core/httpfield.h"

#include <strings.h>

#include <algorithm>

namespace hibiscushold {

bool
HasName(const HttpField& aField, std::string_view aName)
{
  return aField.mName.size() == aName.size() &&
         ::strncasecmp(aField.mName.data(), aName.data(), aName.size()) == 0;
}

std::optional<std::string>
FindField(std::span<const HttpField> aFields, std::string_view aName)
{
  for (const HttpField& it : aFields) {
    if (HasName(it, aName)) {
      return it.mValue;
    }
  }
  return std::nullopt;
}

size_t
CountFields(std::span<const HttpField> aFields, std::string_view aName)
{
  return static_cast<size_t>(
    std::count_if(aFields.begin(), aFields.end(), [&](const HttpField& aIt) {
      return HasName(aIt, aName);
    }));
}

bool
HasConflict(std::span<const HttpField> aFields, std::string_view aName)
{
  const std::optional<std::string> first = FindField(aFields, aName);
  return std::any_of(aFields.begin(), aFields.end(), [&](const HttpField& aIt) {
    return HasName(aIt, aName) && aIt.mValue != *first;
  });
}

} // namespace hibiscushold
