#pragma once

#include "config/head.h"
#include "store/platform.h"

#include <string>
#include <vector>

namespace hibiscushold {

/// The record of one change, stored before the change is proposed. Each record
/// links to the version before it, from the accepted version back to the first;
/// no record links to a refused change.
struct HistoryEntry
{
  ConfigVersion mTarget;                ///< version that the change proposes
  ConfigVersion mBase;                  ///< accepted version that it replaced
  std::string mNode;                    ///< node id of the coordinator
  int64_t mTimeMillis = 0;              ///< Unix time
  std::vector<std::string> mRequesters; ///< of the lines that changed

  bool operator==(const HistoryEntry&) const = default;
};

std::string
SerializeHistoryEntry(const HistoryEntry& aEntry);

/// @return the entry, or ReplyInvalid
Result<HistoryEntry>
ParseHistoryEntry(std::string_view aText);

/// Stores the record of a change.
Result<void>
StoreHistoryEntry(Platform& aPlatform, const HistoryEntry& aEntry);

/// Reads the latest accepted changes, the accepted one first.
/// @param aMaxEntries maximum number of changes; each takes one store call
/// @return the changes, ending before the first missing record
Result<std::vector<HistoryEntry>>
ReadHistory(Platform& aPlatform, const ConfigHead& aHead, size_t aMaxEntries);

} // namespace hibiscushold
