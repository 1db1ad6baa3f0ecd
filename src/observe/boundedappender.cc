#include "observe/boundedappender.h"

#include <chrono>
#include <unistd.h>
#include <utility>

namespace hibiscushold {

namespace {

/// Some seconds of lines of a busy node.
constexpr size_t kMaxWaitingBytes = 1U << 20U;
/// Lines that come together are written by one call.
constexpr auto kWriteGap = std::chrono::milliseconds(50);

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
  WriteWaiting();
  closed = true;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  const std::string& line = formatEvent(aEvent);
  const std::lock_guard guard(mLock);
  if (mWaiting.size() + line.size() > kMaxWaitingBytes) {
    ++mDropped;
    return;
  }
  if (mDropped > 0) {
    mWaiting += "{\"name\":\"log_dropped\",\"lines\":" +
                std::to_string(std::exchange(mDropped, 0)) + "}\n";
  }
  mWaiting += line;
}

void
BoundedAppender::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    std::this_thread::sleep_for(kWriteGap);
    WriteWaiting();
  }
}

void
BoundedAppender::WriteWaiting()
{
  std::string lines;
  {
    const std::lock_guard guard(mLock);
    lines.swap(mWaiting);
  }
  for (size_t at = 0; at < lines.size();) {
    const ssize_t n =
      ::write(STDOUT_FILENO, lines.data() + at, lines.size() - at);
    if (n <= 0) {
      return; // nobody reads any more, and there is no other place to say so
    }
    at += static_cast<size_t>(n);
  }
}

} // namespace hibiscushold
