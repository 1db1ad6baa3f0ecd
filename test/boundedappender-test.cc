#include "observe/boundedappender.h"

#include <log4cplus/helpers/pointer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <unistd.h>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

/// Redirects standard output to a pipe until destroyed.
class CapturedOutput
{
public:
  CapturedOutput()
    : mSavedStdout(::dup(STDOUT_FILENO))
  {
    CHECK_EQUAL(0, ::pipe(mPipe.data()));
    ::dup2(mPipe[1], STDOUT_FILENO);
  }

  ~CapturedOutput()
  {
    ::dup2(mSavedStdout, STDOUT_FILENO);
    for (const int it : { mSavedStdout, mPipe[0], mPipe[1] }) {
      ::close(it);
    }
  }

  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::string Read() const
  {
    std::array<char, 4096> buf;
    const ssize_t n = ::read(mPipe[0], buf.data(), buf.size());
    return { buf.data(), static_cast<size_t>(n > 0 ? n : 0) };
  }

private:
  std::array<int, 2> mPipe{};
  const int mSavedStdout;
};

} // namespace

TEST_GROUP(BoundedAppender){};

TEST(BoundedAppender, WritesInOrderAndDropsLinesThatOverflowTheBuffer)
{
  const CapturedOutput output;
  const log4cplus::SharedAppenderPtr appender(new BoundedAppender);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  const auto log = [&](const std::string& aText) {
    appender->doAppend(log4cplus::spi::InternalLoggingEvent(
      "test", log4cplus::INFO_LOG_LEVEL, aText, "", 0, ""));
  };
  log("first");
  log(std::string(2000000, 'x'));
  log("second");
  appender->close();
  STRCMP_EQUAL("first\n{\"name\":\"log_dropped\",\"lines\":1}\nsecond\n",
               output.Read().c_str());
}
