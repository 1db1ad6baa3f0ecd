#include "admission/forecast.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Part of a pass that is left, on average, when a request arrives.
constexpr double kPassLeft = 0.5;

} // namespace

double
ForecastFirstEvent(const FleetTarget& aTarget,
                   const TargetLoad& aLoad,
                   uint32_t aPromptTokens)
{
  const TargetTimes& times = aTarget.mTimes;
  if (!(times.mPassMillis > 0)) {
    return 0;
  }
  const TargetDemand& others = aLoad.mOthers;
  const double streams = aLoad.mStreaming + others.mStreaming;
  const double requests = aLoad.mInFlight + others.mWaiting + others.mStreaming;
  const auto tokens = static_cast<double>(
    aLoad.mWaitingTokens + others.mWaitingTokens + aPromptTokens);
  const double fits = times.mTokensPerPass > 0 ? times.mTokensPerPass : tokens;
  const double pass = times.mPassMillis +
                      std::min(streams, static_cast<double>(aTarget.mSlots)) *
                        times.mMillisPerRequest +
                      std::min(tokens, fits) * times.mMillisPerToken;
  const double passes =
    tokens > 0 ? std::ceil(tokens / std::max(fits, 1.0)) : 1;
  // Streams end evenly, so a slot becomes free every so many passes.
  const double beyond = std::max(0.0, requests + 1 - aTarget.mSlots);
  const double passesPerSlot =
    times.mPassesPerRequest / std::max(1U, aTarget.mSlots);
  return pass * (kPassLeft + std::max(passes, beyond * passesPerSlot));
}

} // namespace hibiscushold
