#include "core/guard.h"

#include <Poco/Exception.h>

namespace hibiscushold {

namespace {

std::string
TextOfException()
{
  try {
    throw;
  } catch (const Poco::Exception& e) {
    return e.displayText();
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown";
  }
}

} // namespace

std::string
DescribeException() noexcept
{
  try {
    return TextOfException();
  } catch (...) {
    return "no memory"; // short enough to need none
  }
}

bool
RunGuarded(const std::function<void()>& aTask,
           const FailureHandler& aOnFailure) noexcept
{
  try {
    aTask();
    return true;
  } catch (...) {
    try {
      aOnFailure(DescribeException());
    } catch (...) {
      // A handler that logs counts what it can't write.
      return false;
    }
  }
  return false;
}

} // namespace hibiscushold
