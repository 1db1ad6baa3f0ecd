#pragma once

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <mutex>
#include <string>

namespace hibiscushold {

/// Keeps the events that are logged during its lifetime.
class CapturedLog
{
public:
  CapturedLog() { log4cplus::Logger::getRoot().addAppender(mAppender); }
  ~CapturedLog() { log4cplus::Logger::getRoot().removeAppender(mAppender); }

  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// @return the events with that name
  size_t Count(const std::string& aName) const { return mKept->Count(aName); }

private:
  class Kept final : public log4cplus::Appender
  {
  public:
    ~Kept() override { destructorImpl(); }
    void close() override {}

    size_t Count(const std::string& aName)
    {
      const std::lock_guard guard(mLock);
      size_t n = 0;
      for (size_t at = mText.find(aName); at != std::string::npos;
           at = mText.find(aName, at + 1)) {
        ++n;
      }
      return n;
    }

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
    {
      const std::lock_guard guard(mLock);
      mText += aEvent.getMessage() + "\n";
    }

  private:
    std::mutex mLock; ///< guards mText
    std::string mText;
  };

  Kept* const mKept = new Kept;
  log4cplus::SharedAppenderPtr mAppender{ mKept };
};

} // namespace hibiscushold
