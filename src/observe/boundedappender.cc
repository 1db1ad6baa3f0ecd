#include "observe/boundedappender.h"

#include <chrono>
#include <unistd.h>
#include <utility>

namespace hibiscushold {

namespace {

/// Holds the log lines of a few seconds on a busy node.
constexpr size_t kMaxBufferedBytes = 1U << 20U;
/// Lines that arrive within this interval are written by one system call.
constexpr auto kFlushInterval = std::chrono::milliseconds(50);

} // namespace

BoundedAppender::BoundedAppender()
  : mThread([this](const std::stop_token& aStop) { Run(aStop); })
{
}

BoundedAppender::~BoundedAppender()
{
  destructorImpl();
}

void
BoundedAppender::close()
{
  if (mThread.joinable()) {
    mThread.request_stop();
    mThread.join();
  }
  FlushBuffer();
  closed = true;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  const std::string& line = formatEvent(aEvent);
  const std::lock_guard guard(mLock);
  if (mBuffer.size() + line.size() > kMaxBufferedBytes) {
    ++mDroppedLines;
    return;
  }
  if (mDroppedLines > 0) {
    mBuffer += "{\"name\":\"log_dropped\",\"lines\":" +
               std::to_string(std::exchange(mDroppedLines, 0)) + "}\n";
  }
  mBuffer += line;
}

void
BoundedAppender::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    std::this_thread::sleep_for(kFlushInterval);
    FlushBuffer();
  }
}

void
BoundedAppender::FlushBuffer()
{
  std::string lines;
  {
    const std::lock_guard guard(mLock);
    lines.swap(mBuffer);
  }
  for (size_t written = 0; written < lines.size();) {
    const ssize_t n =
      ::write(STDOUT_FILENO, lines.data() + written, lines.size() - written);
    if (n <= 0) {
      return; // standard output was closed; there is nowhere to report it
    }
    written += static_cast<size_t>(n);
  }
}

} // namespace hibiscushold
