#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <system_error>

namespace hibiscushold {

/// Every kind of failure that crosses a module boundary.
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
};

/// The last value of Error.
inline constexpr Error kLastError = Error::StoreHistoryGone;

/// @return the category that names and describes Error values
const std::error_category&
ErrorCategory();

std::error_code
make_error_code(Error aError);

/// A typed error with the place it concerns and what to do about it.
struct Failure
{
  Error mError = Error::SyntaxInvalid;
  std::string mDetail;
  std::string mRemedy;
};

/// @return "kind: detail; remedy" for a person to read
std::string
Describe(const Failure& aFailure);

/// @return the stable short name of the error, such as "store_conflict"
std::string
ErrorName(Error aError);

/// A value of T, or the Failure that stood in the way.
template<class T>
using Result = boost::outcome_v2::
  basic_result<T, Failure, boost::outcome_v2::policy::all_narrow>;

} // namespace hibiscushold

template<>
struct std::is_error_code_enum<hibiscushold::Error> : std::true_type
{
};
