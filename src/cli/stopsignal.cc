#include "cli/stopsignal.h"

#include <cerrno>
#include <csignal>
#include <semaphore.h>

namespace hibiscushold {

namespace {

sem_t gStopRequested;

extern "C" void
OnStopSignal(int)
{
  // sem_post is one of the few calls that a signal handler may make.
  sem_post(&gStopRequested);
}

} // namespace

void
InstallStopSignalHandlers()
{
  sem_init(&gStopRequested, 0, 0);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  // Files that may change are checked periodically, so no signal is needed to
  // reload them.
  std::signal(SIGHUP, SIG_IGN);
}

void
WaitForStopSignal()
{
  while (sem_wait(&gStopRequested) != 0 && errno == EINTR) {
  }
}

} // namespace hibiscushold
