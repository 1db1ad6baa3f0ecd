#include "core/tokenset.h"

#include "core/ids.h"

#include <sstream>

namespace hibiscushold {

namespace {

constexpr std::string_view kScheme = "Bearer ";

} // namespace

TokenSet::TokenSet(std::string_view aText)
  : mTokens(SplitTokens(aText))
{
}

void
TokenSet::Replace(std::string_view aText)
{
  std::vector<std::string> tokens = SplitTokens(aText);
  const std::lock_guard guard(mLock);
  mTokens = std::move(tokens);
}

std::string
TokenSet::AuthorizationValue() const
{
  const std::lock_guard guard(mLock);
  return std::string(kScheme) + (mTokens.empty() ? "" : mTokens.front());
}

bool
TokenSet::Accepts(std::string_view aField) const
{
  const std::lock_guard guard(mLock);
  bool accepted = false;
  for (const std::string& it : mTokens) {
    const std::string expected = std::string(kScheme) + it;
    accepted = EqualConstantTime(aField, expected) || accepted;
  }
  return accepted;
}

std::vector<std::string>
SplitTokens(std::string_view aText)
{
  std::istringstream in{ std::string(aText) };
  std::vector<std::string> tokens;
  std::string token;
  while (in >> token) {
    tokens.push_back(token);
  }
  return tokens;
}

Result<void>
CheckTokens(std::string_view aText)
{
  const std::vector<std::string> tokens = SplitTokens(aText);
  for (const std::string& it : tokens) {
    if (it.size() < kMinTokenBytes) {
      return Failure{ Error::SettingInvalid,
                      "a token has " + std::to_string(it.size()) + " bytes",
                      "give at least " + std::to_string(kMinTokenBytes) };
    }
  }
  if (tokens.empty()) {
    return Failure{ Error::SettingInvalid, "no token", "give a token" };
  }
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
