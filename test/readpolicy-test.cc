#include "manualclock.h"
#include "relay/readpolicy.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace hibiscushold;

namespace {

constexpr auto kPollInterval = milliseconds(250);

/// Nodes of one zone whose upstreams have lost the store.
struct Zone
{
  std::vector<StoreReads> mNodes;
  size_t mReads = 0;
};

/// Lets every node read the store whenever it may.
void
Poll(Zone& aZone, bool aSucceeds, TimePoint aNow)
{
  for (size_t n = 0; n < aZone.mNodes.size(); ++n) {
    StoreReads& reads = aZone.mNodes[n];
    if (IsStoreReadDue(reads, aNow)) {
      ++aZone.mReads;
      const double fraction = static_cast<double>(n % 10) / 10;
      RecordStoreRead(reads, n, aSucceeds, aNow, fraction);
    }
  }
}

} // namespace

TEST_GROUP(ReadPolicy)
{
  ManualClock mClock;

  size_t CountReads(size_t aNodes, Duration aTime)
  {
    Zone zone;
    zone.mNodes.resize(aNodes);
    for (const TimePoint end = mClock.Now() + aTime; mClock.Now() < end;
         mClock.Advance(kPollInterval)) {
      Poll(zone, false, mClock.Now());
    }
    return zone.mReads;
  }
};

// Store away, many nodes: guards against calls from every node of a zone each
// second while the store is away.
TEST(ReadPolicy, StoreAwayCostsFewCallsOfAZone)
{
  const size_t readers = CountReads(3, seconds(8));
  CHECK(readers <= size_t{ 3 } * 8);
  // Every other node looks once at the start and at most twice afterwards.
  CHECK(CountReads(41, seconds(8)) <= readers + size_t{ 38 } * 3);
}

// Store away: guards against a zone in which no node notices its return.
TEST(ReadPolicy, ReadersNoticeTheReturnOfTheStoreWithinASecond)
{
  StoreReads reads;
  RecordStoreRead(reads, 2, false, mClock.Now(), 0.9);
  CHECK(!IsStoreReadDue(reads, mClock.Now() + milliseconds(900)));
  CHECK(IsStoreReadDue(reads, mClock.Now() + milliseconds(1000)));
  CHECK(IsZoneReader(2));
  CHECK(!IsZoneReader(3));
}

// Upstreams turned away by the store: guards against a configuration that a
// node with its own way to the store learns of too late.
TEST(ReadPolicy, AFollowerThatReachesTheStoreKeepsReadingIt)
{
  StoreReads reads;
  RecordStoreRead(reads, 30, true, mClock.Now(), 0.99);
  CHECK(!IsStoreReadDue(reads, mClock.Now() + milliseconds(100)));
  CHECK(IsStoreReadDue(reads, mClock.Now() + milliseconds(1300)));
}
