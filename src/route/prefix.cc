#include "route/prefix.h"

#include "core/json.h"

namespace hibiscushold {

namespace {

/// Longer than the chat template, shorter than most system prompts that
/// requests have in common.
constexpr size_t kPrefixBytes = 512;

} // namespace

std::string
PromptPrefix(const Json::Value& aBody)
{
  std::string prefix = TextAt(aBody, "prompt");
  for (const Json::Value& it : ArrayAt(aBody, "messages")) {
    if (prefix.size() >= kPrefixBytes) {
      break;
    }
    if (it.isObject()) {
      prefix += TextAt(it, "role") + "\n" + TextAt(it, "content") + "\n";
    }
  }
  prefix.resize(std::min(prefix.size(), kPrefixBytes));
  return prefix;
}

} // namespace hibiscushold
