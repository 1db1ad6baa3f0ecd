#pragma once

#include <log4cplus/appender.h>

#include <mutex>
#include <string>
#include <thread>

namespace hibiscushold {

/// A log4cplus appender that writes to standard output on its own thread. Lines
/// are queued in a bounded buffer and dropped when it is full, so that a
/// blocked reader of the output never delays a request. A log_dropped line
/// reports the number of dropped lines.
class BoundedAppender final : public log4cplus::Appender
{
public:
  BoundedAppender();
  ~BoundedAppender() override;

  /// Writes the buffered lines and stops the thread.
  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  void Run(const std::stop_token& aStop);
  void FlushBuffer();

  std::mutex mLock; ///< protects mBuffer and mDroppedLines
  std::string mBuffer;
  size_t mDroppedLines = 0; ///< since the last line that was buffered
  std::jthread mThread;
};

} // namespace hibiscushold
