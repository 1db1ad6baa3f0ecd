#pragma once

namespace hibiscushold {

/// Installs handlers by which SIGTERM and SIGINT unblock AwaitStopSignal
/// instead of terminating the process. SIGPIPE and SIGHUP are ignored from then
/// on. Blocking the signals in the calling thread is not enough, because
/// libraries may start threads before main.
void
InstallStopSignalHandlers();

/// Blocks until the first SIGTERM or SIGINT; call CatchStopSignals before.
void
WaitForStopSignal();

} // namespace hibiscushold
