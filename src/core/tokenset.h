#pragma once

#include "core/errors.h"

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscushold {

inline constexpr size_t kMinTokenBytes = 16;

/// The valid bearer tokens of one kind. The first is sent and each of them is
/// accepted, so that a token can be replaced one node at a time. Thread-safe.
class TokenSet
{
public:
  /// @param aText tokens separated by white space
  explicit TokenSet(std::string_view aText);

  /// Replaces all tokens.
  /// @param aText as for the constructor
  void Replace(std::string_view aText);

  /// @return the Authorization header's value with the first token
  std::string AuthorizationValue() const;

  /// Compares with every token in constant time.
  /// @param aField value of a received Authorization header
  /// @return whether it holds one of the tokens
  bool Accepts(std::string_view aField) const;

private:
  mutable std::mutex mLock;
  std::vector<std::string> mTokens;
};

/// @return the tokens in aText, which are separated by white space
std::vector<std::string>
SplitTokens(std::string_view aText);

/// @return SettingInvalid when there is no token or one is too short
Result<void>
CheckTokens(std::string_view aText);

} // namespace hibiscushold
