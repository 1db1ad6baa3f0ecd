#include "relay/readpolicy.h"

namespace hibiscushold {

namespace {

/// The first reads from another zone, the others take over from it.
constexpr size_t kReadersPerZone = 3;
/// Minimum time between a failed read and the next. While the store is
/// unavailable, each attempt has a cost.
constexpr auto kReaderRetryInterval = milliseconds(1000);
/// The same for nodes that are no readers: once the store is back, they get its
/// changes from the readers.
constexpr auto kFollowerRetryInterval = milliseconds(4000);
/// A follower whose upstreams have all lost the store reads it this often.
constexpr auto kFollowerReadInterval = milliseconds(800);
/// Part of an interval by which it may be longer.
constexpr double kSpread = 0.5;

} // namespace

bool
IsZoneReader(size_t aRankInZone)
{
  return aRankInZone < kReadersPerZone;
}

void
RecordStoreRead(StoreReads& aReads,
                size_t aRankInZone,
                bool aSucceeded,
                TimePoint aNow,
                double aFraction)
{
  const bool isReader = IsZoneReader(aRankInZone);
  if (aSucceeded && isReader) {
    aReads.mNextAt.reset();
    return;
  }
  if (isReader) {
    aReads.mNextAt = aNow + kReaderRetryInterval;
    return;
  }
  const Duration interval =
    aSucceeded ? kFollowerReadInterval : kFollowerRetryInterval;
  aReads.mNextAt =
    aNow + interval +
    std::chrono::duration_cast<Duration>(interval * (kSpread * aFraction));
}

bool
IsStoreReadDue(const StoreReads& aReads, TimePoint aNow)
{
  return !aReads.mNextAt || aNow >= *aReads.mNextAt;
}

} // namespace hibiscushold
