#include "gateway/announcements.h"

#include "core/number.h"
#include "observe/events.h"

#include <algorithm>
#include <optional>

namespace hibiscushold {

namespace {

/// Longest time for which a target can keep requests away.
constexpr double kMaxQuietSeconds = 3600;
constexpr size_t kMaxLoggedValueBytes = 100;
/// Status of a target that takes no request now.
constexpr int kBusy = 503;

/// @param aText seconds, which may have a fraction
/// @return the time, at most kMaxQuietSeconds, or nothing if aText is invalid
std::optional<Duration>
ParseQuietTime(std::string_view aText)
{
  double seconds = 0;
  if (!ParseNumber(aText, seconds) || !(seconds >= 0)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxQuietSeconds)));
}

} // namespace

void
RecordAnnouncements(const ExchangeDependencies& aDependencies,
                    const FleetTarget& aTarget,
                    const ResponseHead& aHead)
{
  const ProtocolNames& names = aDependencies.mProtocol;
  TargetLoads& loads = aDependencies.mLoads;
  if (!names.mLeaving.empty() && FindField(aHead, names.mLeaving) == "1") {
    loads.RecordLeaving(aTarget.mVmId, aTarget.mStartedMillis);
  }
  const std::optional<std::string> text = FindField(aHead, names.mRetryAfter);
  if (aHead.mStatus != kBusy || names.mRetryAfter.empty() || !text) {
    return;
  }
  if (const std::optional<Duration> time = ParseQuietTime(*text)) {
    loads.RecordQuiet(aTarget.mVmId, aDependencies.mClock.Now() + *time);
  } else if (loads.RecordBadHeader(aTarget.mVmId)) {
    LogEvent(EventId::HeaderInvalid,
             { { "vm", aTarget.mVmId },
               { "header", names.mRetryAfter },
               { "value", text->substr(0, kMaxLoggedValueBytes) } });
  }
}

} // namespace hibiscushold
