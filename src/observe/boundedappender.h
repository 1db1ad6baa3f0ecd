#pragma once

#include <log4cplus/appender.h>

#include <mutex>
#include <string>
#include <thread>

namespace hibiscushold {

/// Writes log lines to standard output from a thread of its own. Lines wait in
/// a buffer of bounded size; those that find it full are counted and dropped,
/// so that a reader that stands still never holds up a request.
class BoundedAppender final : public log4cplus::Appender
{
public:
  BoundedAppender();
  ~BoundedAppender() override;

  /// Writes what waits and ends the thread.
  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  void Run(const std::stop_token& aStop);
  void WriteWaiting();

  std::mutex mLock; ///< guards the two below
  std::string mWaiting;
  size_t mDropped = 0; ///< lines since the last one that was kept
  std::jthread mThread;
};

} // namespace hibiscushold
