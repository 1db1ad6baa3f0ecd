#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <system_error>

namespace hibiscushold {

/// The kinds of failure that modules report to each other. The values index a
/// table of names and texts in errors.cc.
enum class Error
{
  FileUnreadable = 1,
  FileTooLarge,
  SyntaxInvalid,
  SettingUnknown,
  SettingMissing,
  SettingInvalid,
  RuleInvalid,
  RequesterMissing,
  ReferenceUnknown,
  AddressInUse,
  ConnectFailed,
  ReplyTruncated,
  ReplyInvalid,
  TimedOut,
  StoreUnavailable,
  StoreConflict,
  StoreMissing,
  StoreThrottled,
  PeerUnavailable,
  PeerRefused,
  Unauthorized,
  ConfigInvalid,
  ConfigConflict,
  ConfigBlocked,
  ConfigOutcomeUnknown,
  OrderRefused,
  MemberUnknown,
  TlsInvalid,
  StoreHistoryGone,
  HeadInvalid,
  HeadTooLarge,
};

/// The last value of Error.
inline constexpr Error kLastError = Error::HeadTooLarge;

/// @return the std::error_category of Error
const std::error_category&
ErrorCategory();

std::error_code
make_error_code(Error aError);

/// A typed error with its context and a suggested remedy.
struct Failure
{
  Error mError = Error::SyntaxInvalid;
  std::string mDetail; ///< what failed, such as a path, an address or a value
  std::string mRemedy; ///< how to correct it; may be empty
};

/// @return the human-readable form "kind: detail; remedy"; empty parts are left
///         out
std::string
Describe(const Failure& aFailure);

/// @return the stable short name of the error, such as "store_conflict"
std::string
ErrorName(Error aError);

/// A value of T, or the Failure that prevented it.
template<class T>
using Result = boost::outcome_v2::
  basic_result<T, Failure, boost::outcome_v2::policy::all_narrow>;

} // namespace hibiscushold

template<>
struct std::is_error_code_enum<hibiscushold::Error> : std::true_type
{
};
