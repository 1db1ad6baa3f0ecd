#include "relay/writeorder.h"

#include "observe/events.h"

namespace hibiscushold {

namespace {

/// A writer with an earlier start that writes again after this time, while the
/// one with the later start doesn't, has replaced it.
constexpr auto kRestartConfirmTime = milliseconds(2000);
/// The same for one with the same start, of which several writes may be
/// delayed. The store executes no write later than this.
constexpr auto kMaxWriteDelay = milliseconds(10000);
/// How long the order of a deleted object is known.
constexpr auto kDeletedTime = milliseconds(30000);

void
Accept(KnownWrite& aKnown,
       const Object& aRead,
       const WriteOrder& aOrder,
       TimePoint aNow)
{
  aKnown = { aOrder, aRead.mValue, aRead.mVersion, aNow };
}

/// @return whether the older write shows that its writer has replaced the one
///         of the known write
bool
GoesOn(const KnownWrite& aKnown, const WriteOrder& aOrder, TimePoint aNow)
{
  if (aOrder.mStart == 0 || !aKnown.mOverwrittenAt ||
      !(aKnown.mOverwrittenOrder < aOrder)) {
    return false;
  }
  const auto confirmTime =
    aOrder.mStart < aKnown.mOrder.mStart ? kRestartConfirmTime : kMaxWriteDelay;
  return aNow - *aKnown.mOverwrittenAt >= confirmTime;
}

} // namespace

bool
IsOutdated(KnownWrites& aKnown,
           const Object& aRead,
           const WriteOrder& aOrder,
           TimePoint aNow)
{
  const auto [it, isNew] = aKnown.try_emplace(aRead.mKey);
  KnownWrite& known = it->second;
  if (isNew || !(aOrder < known.mOrder)) {
    Accept(known, aRead, aOrder, aNow);
    return false;
  }
  // A read that was overtaken, or the same write again.
  if (aRead.mVersion <= std::max(known.mVersion, known.mOverwrittenVersion)) {
    return true;
  }
  if (GoesOn(known, aOrder, aNow)) {
    LogEvent(EventId::EntryOrderRestarted, { { "key", aRead.mKey } });
    Accept(known, aRead, aOrder, aNow);
    return false;
  }
  LogEvent(EventId::EntryOutdated,
           { { "key", aRead.mKey },
             { "start", std::to_string(aOrder.mStart) },
             { "count", std::to_string(aOrder.mCount) },
             { "known_start", std::to_string(known.mOrder.mStart) },
             { "known_count", std::to_string(known.mOrder.mCount) } });
  known.mOverwrittenAt = known.mOverwrittenAt.value_or(aNow);
  known.mOverwrittenVersion = aRead.mVersion;
  known.mOverwrittenOrder = aOrder;
  return true;
}

void
ForgetOldWrites(KnownWrites& aKnown,
                const std::function<bool(const std::string& aKey)>& aIsListed,
                TimePoint aNow)
{
  std::erase_if(aKnown, [&](const auto& it) {
    return it.second.mReadAt + kDeletedTime < aNow && !aIsListed(it.first);
  });
}

} // namespace hibiscushold
