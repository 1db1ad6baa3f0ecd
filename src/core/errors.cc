#include "core/errors.h"

#include <array>

namespace hibiscushold {

namespace {

struct ErrorText
{
  const char* mName;
  const char* mText;
};

constexpr std::array<ErrorText, 32> kErrorTexts = { {
  { "none", "no error" },
  { "file_unreadable", "the file cannot be read" },
  { "file_too_large", "the file is too large" },
  { "syntax_invalid", "the syntax is invalid" },
  { "setting_unknown", "unknown setting" },
  { "setting_missing", "a setting is missing" },
  { "setting_invalid", "a setting is invalid" },
  { "rule_invalid", "a rule is invalid" },
  { "requester_missing", "a rule does not name its requester" },
  { "reference_unknown", "a rule refers to a name that is not defined" },
  { "address_in_use", "the address is already in use" },
  { "connect_failed", "the connection failed" },
  { "reply_truncated", "the reply ended too early" },
  { "reply_invalid", "the reply is not valid" },
  { "timed_out", "the deadline passed" },
  { "store_unavailable", "the platform's store is not available" },
  { "store_conflict", "the object has another version" },
  { "store_missing", "the object does not exist" },
  { "store_throttled", "the store's call budget is used up" },
  { "peer_unavailable", "the member cannot be reached" },
  { "peer_refused", "the member refused the call" },
  { "unauthorized", "the token is missing or wrong" },
  { "config_invalid", "the rules are invalid" },
  { "config_conflict", "the configuration changed since the base version" },
  { "config_blocked", "members stand in the way of the change" },
  { "config_outcome_unknown", "whether the change took effect is unknown" },
  { "order_refused", "the target refused the order" },
  { "member_unknown", "no such member or VM" },
  { "tls_invalid", "the TLS set-up is invalid" },
  { "store_history_gone", "the store no longer holds the changes asked for" },
  { "head_invalid", "the head of the message is malformed" },
  { "head_too_large", "the head of the message is too large" },
} };

const ErrorText&
FindErrorText(int aValue)
{
  const auto n = static_cast<size_t>(aValue);
  return n < kErrorTexts.size() ? kErrorTexts[n] : kErrorTexts[0];
}

class HibiscusholdCategory final : public std::error_category
{
public:
  const char* name() const noexcept override { return "hibiscushold"; }
  std::string message(int aValue) const override
  {
    return FindErrorText(aValue).mText;
  }
};

} // namespace

const std::error_category&
ErrorCategory()
{
  static const HibiscusholdCategory category;
  return category;
}

std::error_code
make_error_code(Error aError)
{
  return { static_cast<int>(aError), ErrorCategory() };
}

std::string
ErrorName(Error aError)
{
  return FindErrorText(static_cast<int>(aError)).mName;
}

std::string
Describe(const Failure& aFailure)
{
  std::string text = make_error_code(aFailure.mError).message();
  if (!aFailure.mDetail.empty()) {
    text += ": " + aFailure.mDetail;
  }
  if (!aFailure.mRemedy.empty()) {
    text += "; " + aFailure.mRemedy;
  }
  return text;
}

} // namespace hibiscushold
