#include "cli/exitcode.h"

namespace hibiscushold {

ExitCode
ExitCodeOf(Error aError)
{
  switch (aError) {
    case Error::FileUnreadable:
    case Error::FileTooLarge:
    case Error::SyntaxInvalid:
    case Error::SettingUnknown:
    case Error::SettingMissing:
    case Error::SettingInvalid:
    case Error::TlsInvalid:
    case Error::RuleInvalid:
    case Error::RequesterMissing:
    case Error::ReferenceUnknown:
    case Error::ConfigInvalid:
      return ExitCode::BadFile;
    case Error::ConnectFailed:
    case Error::PeerUnavailable:
      return ExitCode::Unreachable;
    case Error::Unauthorized:
      return ExitCode::Unauthorized;
    case Error::ConfigConflict:
      return ExitCode::Conflict;
    case Error::ConfigBlocked:
      return ExitCode::Blocked;
    case Error::ConfigOutcomeUnknown:
      return ExitCode::OutcomeUnknown;
    case Error::AddressInUse:
      return ExitCode::AddressInUse;
    default:
      return ExitCode::Failed;
  }
}

} // namespace hibiscushold
