#pragma once

#include "core/errors.h"

namespace hibiscushold {

/// Exit codes of the process; docs/COMMANDS.md lists them.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  BadFile = 3,
  Unreachable = 4,
  Unauthorized = 5,
  Conflict = 6,
  Blocked = 7,
  OutcomeUnknown = 8,
  AddressInUse = 9,
};

/// @return the exit code by which a script can recognize aError
ExitCode
ExitCodeOf(Error aError);

} // namespace hibiscushold
