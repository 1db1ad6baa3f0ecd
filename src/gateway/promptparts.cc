#include "gateway/promptparts.h"

#include "core/hash.h"

#include <Poco/String.h>

#include <algorithm>
#include <string>

namespace hibiscushold {

std::vector<uint64_t>
ParseSharedParts(std::string_view aField)
{
  std::vector<uint64_t> parts;
  while (parts.size() < kMaxPromptParts) {
    const size_t comma = aField.find(',');
    if (comma == std::string_view::npos) {
      break;
    }
    const std::string_view entry = aField.substr(0, comma);
    aField.remove_prefix(comma + 1);
    const std::string id =
      Poco::toLower(Poco::trim(std::string(entry.substr(0, entry.find(':')))));
    if (!id.empty()) {
      parts.push_back(Hash64(id));
    }
  }
  return parts;
}

} // namespace hibiscushold
