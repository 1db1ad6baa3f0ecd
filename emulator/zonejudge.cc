#include "emulator/judge.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace hibiscushold::emulator {

namespace {

using Kind = DisturbanceLine::Kind;

constexpr int64_t kSecond = 1000;

using RequestsById = std::unordered_map<uint64_t, const RequestLine*>;

RequestsById
IndexRequests(const Lines& aLines)
{
  RequestsById requests;
  for (const RequestLine& it : aLines.mRequests) {
    requests[it.mId] = &it;
  }
  return requests;
}

/// A start excuses nothing, as a node serves nobody before it knows the zones.
bool
CouldReadStore(const Lines& aLines,
               const JudgeBounds& aBounds,
               const RequestLine& aRequest)
{
  return std::none_of(aLines.mDisturbances.begin(),
                      aLines.mDisturbances.end(),
                      [&](const DisturbanceLine& it) {
                        const bool concerns =
                          it.mKind == Kind::Store ||
                          (it.mNode == aRequest.mNode &&
                           (it.mKind == Kind::Cut || it.mKind == Kind::Freeze));
                        return concerns && it.mFrom <= aRequest.mEndedAt &&
                               it.mUntil >=
                                 aRequest.mSentAt - aBounds.mTouchMillis;
                      });
}

} // namespace

std::vector<Breach>
JudgeZonesOut(const Lines& aLines, const JudgeBounds& aBounds)
{
  const RequestsById requests = IndexRequests(aLines);
  std::vector<Breach> breaches;
  for (const ArrivalLine& it : aLines.mArrivals) {
    const auto found = requests.find(it.mId);
    for (const ZoneLine& zone : aLines.mZones) {
      if (found != requests.end() && it.mZone == zone.mZone &&
          it.mAt > zone.mAckedAt + aBounds.mZoneOutMillis &&
          it.mAt < zone.mBackAt &&
          CouldReadStore(aLines, aBounds, *found->second)) {
        breaches.push_back({ "EVAC",
                             *found->second,
                             it.mTarget + " in " + it.mZone + ", out for " +
                               std::to_string(it.mAt - zone.mAckedAt) +
                               " ms" });
      }
    }
  }
  return breaches;
}

std::vector<Breach>
JudgeCold(const Lines& aLines,
          double aColdPerSecond,
          const JudgeBounds& aBounds)
{
  const RequestsById requests = IndexRequests(aLines);
  const double allowed =
    aColdPerSecond * aBounds.mColdFactor + aBounds.mColdExtraRequests;
  std::vector<ArrivalLine> arrivals = aLines.mArrivals;
  std::erase_if(arrivals, [](const auto& it) { return !it.mIsCold; });
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const auto& aL, const auto& aR) { return aL.mAt < aR.mAt; });
  /// By target: the arrivals of the last second since its last breach.
  std::map<std::string, std::deque<int64_t>> lately;
  std::vector<Breach> breaches;
  for (const ArrivalLine& it : arrivals) {
    std::deque<int64_t>& times = lately[it.mTarget];
    times.push_back(it.mAt);
    while (times.front() <= it.mAt - kSecond) {
      times.pop_front();
    }
    if (static_cast<double>(times.size()) > allowed) {
      const auto found = requests.find(it.mId);
      breaches.push_back(
        { "FAILBACK",
          found == requests.end() ? RequestLine{} : *found->second,
          it.mTarget + " is cold, request " + std::to_string(times.size()) +
            " in a second" });
      times.clear();
    }
  }
  return breaches;
}

} // namespace hibiscushold::emulator
