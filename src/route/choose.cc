#include "route/choose.h"

#include "core/ids.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <vector>

namespace hibiscushold {

namespace {

/// Maximum load of a target relative to the mean; above it, requests go to the
/// next target in order.
constexpr double kLoadBoundFactor = 1.5;
/// Fraction of a target's limit that requests with a prefix may use whatever
/// the load of the other targets.
constexpr double kBoundExemptFraction = 0.75;
/// Age at which a load report no longer counts.
constexpr auto kMaxReportAge = seconds(3);
constexpr double kMinWeight = 0.01;

using Seconds = std::chrono::duration<double>;

/// A candidate with the values by which it is compared.
struct ScoredCandidate
{
  size_t mIndex = 0;
  uint64_t mScore = 0;
  double mLoad = 0;   ///< requests from this node and estimate for the others
  double mWeight = 1; ///< at least kMinWeight
  bool mHasQueue = false; ///< the target reports queued requests
};

/// @return requests from other nodes according to the load report
double
LoadFromOthers(const Candidate& aCandidate)
{
  if (!aCandidate.mLoadReport) {
    return 0;
  }
  const double reported =
    aCandidate.mLoadReport->mRunning + aCandidate.mLoadReport->mQueued;
  return std::max(0.0, reported - aCandidate.mInFlight);
}

/// @return weight of the load report: 1 when new, falling to 0 with its age
double
ReportWeight(const Candidate& aCandidate, TimePoint aNow)
{
  if (!aCandidate.mLoadReport) {
    return 0;
  }
  const Seconds age = aNow - aCandidate.mLoadReport->mRequestedAt;
  return std::clamp(1 - age / Seconds(kMaxReportAge), 0.0, 1.0);
}

/// Scores the candidates. As a load report ages, the load from other nodes is
/// replaced by its mean over the candidates.
std::vector<ScoredCandidate>
Score(std::span<const Candidate> aCandidates,
      const Affinity& aAffinity,
      TimePoint aNow)
{
  double mean = 0;
  for (const Candidate& it : aCandidates) {
    mean += LoadFromOthers(it) / static_cast<double>(aCandidates.size());
  }
  const std::string random = std::to_string(aAffinity.mRandom);
  const std::string_view key =
    aAffinity.mPrefix.empty() ? random : aAffinity.mPrefix;
  std::vector<ScoredCandidate> scored;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    const double reportWeight = ReportWeight(candidate, aNow);
    const double others =
      reportWeight * LoadFromOthers(candidate) + (1 - reportWeight) * mean;
    scored.push_back(
      { i,
        RendezvousScore(key, candidate.mId),
        candidate.mInFlight + others,
        std::max(kMinWeight, candidate.mWeight),
        reportWeight > 0 && candidate.mLoadReport->mQueued > 0 });
  }
  return scored;
}

/// Sorts the targets: untried before tried, healthy before ejected, own zone
/// first, then by descending score.
void
SortByPreference(std::vector<ScoredCandidate>& aScored,
                 std::span<const Candidate> aCandidates)
{
  const auto rank = [&](const ScoredCandidate& aTarget) {
    const Candidate& candidate = aCandidates[aTarget.mIndex];
    return std::make_tuple(candidate.mTried,
                           candidate.mWeight <= 0,
                           !candidate.mSameZone,
                           ~aTarget.mScore);
  };
  std::sort(aScored.begin(), aScored.end(), [&](auto& aLeft, auto& aRight) {
    return rank(aLeft) < rank(aRight);
  });
}

/// @return load including the new request, relative to the target's weight
double
RelativeLoad(const ScoredCandidate& aScored)
{
  return (aScored.mLoad + 1) / aScored.mWeight;
}

/// Checks a target's load against an upper bound derived from the load of all
/// targets.
class LoadBound
{
public:
  LoadBound(std::span<const ScoredCandidate> aScored,
            std::span<const Candidate> aCandidates,
            double aBoundExemptFraction)
    : mCandidates(aCandidates)
    , mBoundExemptFraction(aBoundExemptFraction)
  {
    double load = 1;
    double own = 1;
    double weight = 0;
    for (const ScoredCandidate& it : aScored) {
      load += it.mLoad;
      weight += it.mWeight;
      own += aCandidates[it.mIndex].mInFlight;
    }
    mBoundPerWeight = kLoadBoundFactor * load / weight;
    mOwnBoundPerWeight = kLoadBoundFactor * own / weight;
  }

  /// Counts only this node's requests, and ignores the target's limit.
  /// @return whether this node's load, with one more request, is within the
  ///         bound
  bool IsWithinOwnBound(const ScoredCandidate& aTarget) const
  {
    const Candidate& candidate = mCandidates[aTarget.mIndex];
    return !candidate.mTried && candidate.mWeight > 0 &&
           candidate.mInFlight + 1 <=
             std::ceil(mOwnBoundPerWeight * aTarget.mWeight);
  }

  /// @return whether the target has room for one more request
  bool operator()(const ScoredCandidate& aTarget) const
  {
    const Candidate& candidate = mCandidates[aTarget.mIndex];
    const double bound = std::ceil(mBoundPerWeight * aTarget.mWeight);
    const double exemptLimit =
      candidate.mLimit * mBoundExemptFraction * aTarget.mWeight;
    const bool isExempt =
      !aTarget.mHasQueue && candidate.mInFlight + 1 <= exemptLimit;
    return !candidate.mTried && candidate.mWeight > 0 &&
           candidate.mInFlight < candidate.mLimit &&
           (isExempt || aTarget.mLoad + 1 <= bound);
  }

private:
  const std::span<const Candidate> mCandidates;
  const double mBoundExemptFraction;
  double mBoundPerWeight = 0;
  double mOwnBoundPerWeight = 0;
};

/// @return index of the least loaded target among those that, like the first,
///         are tried or not and ejected or not
size_t
LeastLoaded(std::span<const ScoredCandidate> aScored,
            std::span<const Candidate> aCandidates)
{
  const auto tier = [&](const ScoredCandidate& aTarget) {
    const Candidate& candidate = aCandidates[aTarget.mIndex];
    return std::make_pair(candidate.mTried, candidate.mWeight <= 0);
  };
  const auto end = std::find_if(
    aScored.begin(), aScored.end(), [&](const ScoredCandidate& aTarget) {
      return tier(aTarget) != tier(aScored.front());
    });
  return std::min_element(aScored.begin(),
                          end,
                          [](auto& aLeft, auto& aRight) {
                            return RelativeLoad(aLeft) < RelativeLoad(aRight);
                          })
    ->mIndex;
}

} // namespace

std::optional<size_t>
ChooseCandidate(std::span<const Candidate> aCandidates,
                const Affinity& aAffinity,
                TimePoint aNow)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::vector<ScoredCandidate> scored = Score(aCandidates, aAffinity, aNow);
  SortByPreference(scored, aCandidates);
  const bool hasPrefix = !aAffinity.mPrefix.empty();
  const LoadBound hasRoom(
    scored, aCandidates, hasPrefix ? kBoundExemptFraction : 0);
  const auto first = std::find_if(scored.begin(), scored.end(), hasRoom);
  if (first == scored.end()) {
    const auto withinOwnBound =
      std::find_if(scored.begin(), scored.end(), [&](auto& it) {
        return hasRoom.IsWithinOwnBound(it);
      });
    if (hasPrefix && withinOwnBound != scored.end()) {
      return withinOwnBound->mIndex;
    }
    return LeastLoaded(scored, aCandidates);
  }
  const auto second = std::find_if(first + 1, scored.end(), hasRoom);
  const bool takesSecond = !hasPrefix && second != scored.end() &&
                           aCandidates[second->mIndex].mSameZone ==
                             aCandidates[first->mIndex].mSameZone &&
                           RelativeLoad(*second) < RelativeLoad(*first);
  return takesSecond ? second->mIndex : first->mIndex;
}

} // namespace hibiscushold
