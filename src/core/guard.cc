#include "core/guard.h"

#include <Poco/Exception.h>

namespace hibiscushold {

bool
RunGuarded(const std::function<void()>& aTask, const FailureHandler& aOnFailure)
{
  try {
    aTask();
    return true;
  } catch (const Poco::Exception& e) {
    aOnFailure(e.displayText());
  } catch (const std::exception& e) {
    aOnFailure(e.what());
  }
  return false;
}

} // namespace hibiscushold
