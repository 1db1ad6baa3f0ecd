#pragma once

#include "store/platform.h"

namespace hibiscushold {

inline Listing
ListingOf(uint64_t aRevision, std::vector<Object> aObjects)
{
  Listing listing;
  listing.mRevision = aRevision;
  listing.mObjects = std::move(aObjects);
  return listing;
}

} // namespace hibiscushold
