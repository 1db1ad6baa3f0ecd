#pragma once

#include "store/platform.h"

#include <string_view>

namespace hibiscushold {

/// Creates the object or replaces its value. Writes nothing if it already has
/// the value aValue.
/// @return StoreConflict when another writer changed the object between the
///         read and the write, or another failure of the store
Result<void>
PutObject(Platform& aPlatform,
          std::string_view aKey,
          std::string_view aValue,
          CallPriority aPriority);

} // namespace hibiscushold
