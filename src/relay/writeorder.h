#pragma once

#include "core/clock.h"
#include "store/platform.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace hibiscushold {

/// What a writer states of the place of a write among its writes to an object.
struct WriteOrder
{
  uint64_t mStart = 0; ///< when the writer started; 0 if writes outlive it
  uint64_t mCount = 0; ///< number of the write since then

  bool operator==(const WriteOrder&) const = default;
  bool operator<(const WriteOrder& aOther) const
  {
    return std::tie(mStart, mCount) < std::tie(aOther.mStart, aOther.mCount);
  }
};

/// Reads the order of an object's content; none if its writer states none.
using WriteOrderReader =
  std::function<std::optional<WriteOrder>(const Object& aObject)>;

/// The newest content of an object among those that state their order.
struct KnownWrite
{
  WriteOrder mOrder;
  std::string mValue;
  uint64_t mVersion = 0; ///< of the object when the content was last read
  TimePoint mReadAt;     ///< when it was last read
  /// The first and the latest older write that the store has executed since.
  std::optional<TimePoint> mOverwrittenAt{};
  uint64_t mOverwrittenVersion = 0;
  WriteOrder mOverwrittenOrder{};
};

/// By key. Writes to deleted objects are kept for a time.
using KnownWrites = std::map<std::string, KnownWrite>;

/// Records a read of an object. The store may execute a write seconds after it
/// was sent, so the content may be older than one that was read before. A
/// writer whose clock was set back between two starts, or whose object another
/// one has changed, goes on writing; a delayed write comes once.
/// @param aOrder of the content that was read
/// @return whether the content is older than the known one
bool
IsOutdated(KnownWrites& aKnown,
           const Object& aRead,
           const WriteOrder& aOrder,
           TimePoint aNow);

/// Forgets the writes to objects that have been missing for long.
/// @param aIsListed whether there is an object with the key
void
ForgetOldWrites(KnownWrites& aKnown,
                const std::function<bool(const std::string& aKey)>& aIsListed,
                TimePoint aNow);

} // namespace hibiscushold
