#include "fleet/forecast.h"

#include <algorithm>
#include <cmath>

namespace hibiscushold {

namespace {

/// Part of a pass that is left, on average, when a request arrives.
constexpr double kPassLeft = 0.5;
/// Measured waits are ignored after this time.
constexpr auto kFirstEventMaxAge = milliseconds(1500);

} // namespace

double
ForecastFirstEvent(const TargetTimes& aTimes,
                   uint32_t aSlots,
                   const TargetLoad& aLoad,
                   uint32_t aPromptTokens,
                   bool aIsDelayed)
{
  if (!(aTimes.mPassMillis > 0)) {
    return 0;
  }
  const TargetDemand& others = aLoad.mOthers;
  const double streams = aLoad.mStreaming + others.mStreaming;
  const double waiting = aLoad.mInFlight - aLoad.mStreaming + others.mWaiting;
  const auto allTokens =
    static_cast<double>(aLoad.mWaitingTokens + others.mWaitingTokens);
  const auto delayed =
    static_cast<double>(aLoad.mDelayedTokens + others.mDelayedTokens);
  const double ahead =
    aIsDelayed || !(allTokens > 0) ? 1 : 1 - std::min(1.0, delayed / allTokens);
  const double requests = streams + waiting * ahead;
  const double tokens = allTokens * ahead + aPromptTokens;
  const double fits =
    aTimes.mTokensPerPass > 0 ? aTimes.mTokensPerPass : tokens;
  const double pass =
    aTimes.mPassMillis +
    std::min(streams, static_cast<double>(aSlots)) * aTimes.mMillisPerRequest +
    std::min(tokens, fits) * aTimes.mMillisPerToken;
  const double passes =
    tokens > 0 ? std::ceil(tokens / std::max(fits, 1.0)) : 1;
  // Streams end evenly, so a slot becomes free every so many passes.
  const double beyond = std::max(0.0, requests + 1 - aSlots);
  const double passesPerSlot = aTimes.mPassesPerRequest / std::max(1U, aSlots);
  return pass * (kPassLeft + std::max(passes, beyond * passesPerSlot));
}

double
MeasuredFirstEventMillis(const TargetLoad& aLoad, TimePoint aNow)
{
  const Duration age = aNow - aLoad.mFirstEventAt;
  if (age >= kFirstEventMaxAge) {
    return 0;
  }
  const double weight =
    1 - static_cast<double>(ToMillis(age)) / kFirstEventMaxAge.count();
  return aLoad.mFirstEventMillis * weight;
}

} // namespace hibiscushold
