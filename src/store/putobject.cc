#include "store/putobject.h"

namespace hibiscushold {

Result<void>
PutObject(Platform& aPlatform,
          std::string_view aKey,
          std::string_view aValue,
          CallPriority aPriority)
{
  Result<Object> object = aPlatform.Get(aKey, aPriority);
  if (object && object.value().mValue == aValue) {
    return boost::outcome_v2::success();
  }
  if (object) {
    BOOST_OUTCOME_TRY(
      aPlatform.Update(aKey, aValue, object.value().mVersion, aPriority));
    return boost::outcome_v2::success();
  }
  if (object.error().mError != Error::StoreMissing) {
    return object.error();
  }
  BOOST_OUTCOME_TRY(aPlatform.Create(aKey, aValue, aPriority));
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
