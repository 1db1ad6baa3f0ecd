#include "seedcount.h"
#include "unsurefleet.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr int kSteps = 600;
constexpr uint32_t kSeeds = 40;
/// These runs take longer than those of other tests.
constexpr uint32_t kSeedDivisor = 50;
/// A fleet whose VMs join no group shows nothing.
constexpr size_t kMinJoins = UnsureFleet::kVms;

void
PlaySeeds(const UnsureFleetFaults& aFaults, uint32_t aSeeds)
{
  for (uint32_t seed = 1; seed <= aSeeds; ++seed) {
    UnsureFleet fleet(seed, aFaults);
    for (int n = 0; n < kSteps && fleet.mBreach.empty(); ++n) {
      fleet.Step();
    }
    const std::string text = "seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", fleet.mBreach.c_str(), text.c_str());
    if (aFaults.mIgnoresFences) {
      STRCMP_EQUAL_TEXT("", fleet.mOpenedIncomplete.c_str(), text.c_str());
    }
    CHECK_TEXT(fleet.mJoins >= kMinJoins, text.c_str());
  }
}

} // namespace

TEST_GROUP(PlannerWithoutFence){};

// Guards against orders of an earlier planner that arrive late at VMs which
// carry out orders of any generation: a VM in two groups, or a head that serves
// without all its members.
TEST(PlannerWithoutFence, LateOrdersOfEarlierPlannersBreakNoGroup)
{
  PlaySeeds({ true, 0, 0 }, kSeeds);
}

TEST_GROUP(PlannerWithUnsureEntries){};

// Guards against a planner that takes an old entry for proof that a VM has left
// its group (TWO): the store loses entries or executes their writes late.
TEST(PlannerWithUnsureEntries, EntriesThatAreLostOrLateBreakNoGroup)
{
  PlaySeeds({ false, 0.15, 0.2 }, SeedCount() / kSeedDivisor);
}
