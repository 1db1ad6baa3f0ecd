#pragma once

namespace hibiscushold {

/// Installs handlers by which SIGTERM and SIGINT unblock WaitForStopSignal
/// instead of terminating the process. SIGPIPE and SIGHUP are ignored from then
/// on. Blocking the signals in the calling thread is not enough, because
/// libraries may start threads before main.
void
InstallStopSignalHandlers();

/// Blocks until the first SIGTERM or SIGINT. InstallStopSignalHandlers must
/// have been called before.
void
WaitForStopSignal();

} // namespace hibiscushold
