#include "fleet/forecast.h"
#include "fleet/targetchoice.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscushold;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };
/// Ten milliseconds a pass, one for each stream; 2,000 prompt tokens a pass,
/// which take 40 ms; 20 passes a response.
constexpr TargetTimes kTimes{ 10, 1, 0.02, 2000, 20 };
constexpr uint32_t kSlots = 30;

TargetLoad
MakeLoad(uint32_t aWaiting, uint64_t aWaitingTokens, uint32_t aStreaming)
{
  TargetLoad load;
  load.mOthers = { aWaiting, aWaitingTokens, aStreaming, {} };
  return load;
}

double
Forecast(const TargetLoad& aLoad, uint32_t aPromptTokens = 1000)
{
  return ForecastFirstEvent(kTimes, kSlots, aLoad, aPromptTokens);
}

} // namespace

TEST_GROUP(Forecast){};

TEST(Forecast, IdleTargetNeedsTheRestOfAPassAndItsOwn)
{
  DOUBLES_EQUAL(1.5 * 30, Forecast({}), 0.1);
}

// The load: a burst of the largest prompts.
TEST(Forecast, WaitingPromptsAreReadInOrder)
{
  DOUBLES_EQUAL(5.5 * 50, Forecast(MakeLoad(9, 9000, 0)), 0.1);
  CHECK(Forecast(MakeLoad(9, 9000, 20)) > Forecast(MakeLoad(9, 9000, 0)));
  CHECK(Forecast({}, 8000) > Forecast({}, 1000));
}

TEST(Forecast, RequestsBeyondTheSlotsWaitForStreamsToEnd)
{
  const double full = Forecast(MakeLoad(0, 0, kSlots));
  const double queued = Forecast(MakeLoad(20, 0, kSlots));
  CHECK(queued > 5 * full);
}

// Engines serve what can be on time before what is delayed.
TEST(Forecast, DelayedRequestsDelayOnlyEachOther)
{
  TargetLoad load = MakeLoad(9, 9000, 0);
  load.mOthers.mDelayedTokens = 9000;
  DOUBLES_EQUAL(Forecast({}), Forecast(load), 0.1);
  DOUBLES_EQUAL(Forecast(MakeLoad(9, 9000, 0)),
                ForecastFirstEvent(kTimes, kSlots, load, 1000, true),
                0.1);
}

TEST(Forecast, OwnRequestsCountLikeThoseOfOthers)
{
  TargetLoad own;
  own.mInFlight = 9;
  own.mWaitingTokens = 9000;
  DOUBLES_EQUAL(Forecast(MakeLoad(9, 9000, 0)), Forecast(own), 0.1);
}

TEST(Forecast, TargetsThatAreNoEnginesHaveNone)
{
  DOUBLES_EQUAL(0, ForecastFirstEvent({}, 6, MakeLoad(20, 90000, 6), 1000), 0);
}

TEST(Forecast, MissingFiguresGiveFiniteWaits)
{
  const TargetTimes noLimit{ 10, 1, 0.02, 0, 0 };
  const double wait =
    ForecastFirstEvent(noLimit, 0, MakeLoad(9, 9000, 40), 1000);
  CHECK(wait > 0 && wait < 1e6);
}

// The load: waves in zones out of phase. A target of the own zone goes first,
// unless the first event would be late there and on time in another zone.
TEST(Forecast, RequestGoesWhereItIsOnTime)
{
  TargetLoads loads;
  std::vector<FleetTarget> targets(2);
  targets[0].mVmId = "near";
  targets[0].mZone = "a";
  targets[1].mVmId = "far";
  targets[1].mZone = "b";
  for (FleetTarget& it : targets) {
    it.mSlots = kSlots;
    it.mTimes = kTimes;
  }
  const auto choose = [&] {
    return ChooseTarget(
             targets,
             loads,
             { "a", "", kNow, 0, kNow + milliseconds(200), 1000, 120 },
             {})
      ->mVmId;
  };
  loads.Begin("near", kNow, 1000);
  STRCMP_EQUAL("near", choose().c_str());
  // Long prompts wait in the own zone.
  loads.Begin("near", kNow, 6000);
  STRCMP_EQUAL("far", choose().c_str());
  // Nowhere on time: the own zone again.
  loads.Begin("far", kNow, 6000);
  loads.Begin("far", kNow, 6000);
  STRCMP_EQUAL("near", choose().c_str());
}
