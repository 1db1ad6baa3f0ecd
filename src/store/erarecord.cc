#include "store/erarecord.h"

namespace hibiscushold {

namespace {

std::string
KeyOf(uint64_t aEra)
{
  return "eras/" + std::to_string(aEra);
}

} // namespace

bool
IsEraComplete(Platform& aStore, uint64_t aEra)
{
  return aStore.Get(KeyOf(aEra), CallPriority::Config).has_value();
}

Result<void>
RecordCompleteEra(Platform& aStore, uint64_t aEra)
{
  const Result<uint64_t> written =
    aStore.Create(KeyOf(aEra), "{}", CallPriority::Config);
  if (!written && written.error().mError != Error::StoreConflict) {
    return written.error();
  }
  return boost::outcome_v2::success();
}

} // namespace hibiscushold
