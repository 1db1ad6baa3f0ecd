#include "fleet/demandaggregator.h"
#include "nomemory/refusal.h"

#include <new>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;
using namespace hibiscushold::nomemory;

TEST_GROUP(NoMemoryDemand){};

// Guards against a demand that is received and missing in the total, which is
// then subtracted from another's, or from none.
TEST(NoMemoryDemand, ARefusedReportIsLeftOutOrCountedWhole)
{
  const std::string node = "a-node-with-a-name-that-needs-memory";
  const std::string vm = "a-vm-with-an-id-that-needs-memory";
  const TimePoint now{ seconds(100) };
  const Demands demands{ { vm, { 2, 300, 1, now } } };
  const auto store = [&](size_t aGranted) {
    DemandAggregator aggregator;
    bool isRefused = false;
    {
      const MemoryRefusal refusal(aGranted, 1);
      try {
        aggregator.StoreFromChild(node, demands, now);
      } catch (const std::bad_alloc&) {
        isRefused = true;
      }
    }
    aggregator.StoreFromChild(node, demands, now);
    CHECK_EQUAL(2U, aggregator.DemandOfOthers(vm).mWaiting);
    aggregator.DropExpired(now + seconds(10));
    CHECK_EQUAL(0U, aggregator.DemandOfOthers(vm).mWaiting);
    return isRefused;
  };
  CHECK(ForEachAllocation(store) > 3);
}
