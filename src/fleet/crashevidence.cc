#include "fleet/crashevidence.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

namespace hibiscushold {

namespace {

/// Further parts of a prompt count for nothing.
constexpr size_t kMaxRankedParts = 64;

/// @return the rank of the n-th shared part of a prompt
uint8_t
RankOfPart(size_t aIndex)
{
  return static_cast<uint8_t>(
    std::min<size_t>(kMinPartRank + aIndex, kMaxPartRank));
}

/// The crashes that the culprits found so far explain, by target. They say
/// nothing about the other requests at the same targets.
class Explained
{
public:
  void Add(const Suspect& aCulprit)
  {
    // A request that ends targets may do so by one of its parts, which then
    // remain suspects.
    const bool exceptContent = aCulprit.mRank == kContentRank;
    for (const Crash& it : NotRefuted(aCulprit)) {
      std::optional<TraitId>& except =
        mExceptContent.try_emplace(it.mTarget, it.mContent).first->second;
      if (!exceptContent) {
        except.reset();
      }
    }
  }

  bool Covers(const Crash& aCrash) const
  {
    const auto found = mExceptContent.find(aCrash.mTarget);
    return found != mExceptContent.end() && found->second != aCrash.mContent;
  }

private:
  /// By target; the content of the request that is not excused, if any.
  std::map<uint64_t, std::optional<TraitId>> mExceptContent;
};

/// Crashes that are enough to count a trait as their cause. A part of a prompt
/// needs several requests, as one alone doesn't tell which of its traits is the
/// cause.
struct Proof
{
  bool mOnlyAtBeginning;  ///< others don't count
  size_t mCrashes;        ///< apart from each other
  size_t mContents;       ///< different requests with the part of a prompt
  milliseconds mStanding; ///< how long they must have stood
};

/// Targets crash when they begin to write an answer, so crashes at that moment
/// weigh more, if they explain most of the ends of that time.
constexpr std::array<Proof, 2> kWithoutAnswers{
  { { false, kMinCrashes, 3, milliseconds(0) },
    { true, kMinCrashes, 2, milliseconds(0) } }
};
constexpr std::array<Proof, 2> kWithAnswers{
  { { false, 5, 3, kTimeToRefute },
    { true, kMinCrashes, 2, kTimeToRefute / 4 } }
};

/// Different requests that the crashes of a resource need: with a single one,
/// its whole content is the cause, and other queries remain sound.
constexpr size_t kMinContentsOfResource = 2;

/// @return the number of different requests that the proof needs
size_t
MinContents(const Proof& aProof, uint8_t aRank)
{
  switch (aRank) {
    case kContentRank:
      return 1;
    case kResourceRank:
      return kMinContentsOfResource;
    default:
      return aProof.mContents;
  }
}

bool
IsMet(const Proof& aProof,
      uint8_t aRank,
      std::span<const Crash> aCrashes,
      TimePoint aNow)
{
  std::vector<Crash> counted;
  std::set<TraitId> contents;
  for (const Crash& it : aCrashes) {
    if (it.mAt + aProof.mStanding <= aNow &&
        (it.mAtBeginning || !aProof.mOnlyAtBeginning)) {
      counted.push_back(it);
      contents.insert(it.mContent);
    }
  }
  return CountApart(counted) >= aProof.mCrashes &&
         contents.size() >= MinContents(aProof, aRank);
}

/// How well a trait explains crashes; the larger, the better.
struct Explanation
{
  size_t mAtBeginning = 0; ///< crashes while an answer had just begun
  size_t mCrashes = 0;     ///< zero if they prove nothing
  bool mNoAnswers = false;
  uint8_t mRank = 0;
  TraitId mTrait = 0;

  auto Key() const
  {
    return std::tie(mAtBeginning, mCrashes, mNoAnswers, mRank, mTrait);
  }
};

/// The targets that ended and are not explained, with the time of each end.
using Ends = std::map<uint64_t, TimePoint>;

Ends
FindEnds(const Suspects& aSuspects, const Explained& aExplained)
{
  Ends ends;
  for (const auto& [trait, suspect] : aSuspects) {
    for (const Crash& it : suspect.mCrashes) {
      if (!it.mRefuted && !aExplained.Covers(it)) {
        TimePoint& at = ends.try_emplace(it.mTarget, it.mAt).first->second;
        at = std::min(at, it.mAt);
      }
    }
  }
  return ends;
}

/// @return whether the crashes while an answer had just begun are most of the
///         ends since the first of them
bool
ExplainMostEnds(std::span<const Crash> aCrashes, const Ends& aEnds)
{
  size_t explained = 0;
  TimePoint first = TimePoint::max();
  for (const Crash& it : aCrashes) {
    if (it.mAtBeginning) {
      ++explained;
      first = std::min(first, aEnds.at(it.mTarget));
    }
  }
  const auto n = std::count_if(aEnds.begin(), aEnds.end(), [&](const auto& it) {
    return it.second >= first;
  });
  return explained * 4 >= static_cast<size_t>(n) * 3;
}

/// @param aExplained crashes that don't count against the trait
Explanation
Explain(TraitId aTrait,
        const Suspect& aSuspect,
        const Explained& aExplained,
        const Ends& aEnds,
        TimePoint aNow)
{
  std::vector<Crash> crashes;
  size_t atBeginning = 0;
  for (const Crash& it : aSuspect.mCrashes) {
    if (!it.mRefuted && !aExplained.Covers(it)) {
      crashes.push_back(it);
      atBeginning += it.mAtBeginning ? 1 : 0;
    }
  }
  const auto& proofs = aSuspect.mWasAnswered ? kWithAnswers : kWithoutAnswers;
  const bool proven =
    std::any_of(proofs.begin(), proofs.end(), [&](const Proof& it) {
      return IsMet(it, aSuspect.mRank, crashes, aNow) &&
             (!it.mOnlyAtBeginning || ExplainMostEnds(crashes, aEnds));
    });
  if (!proven) {
    return {};
  }
  return {
    atBeginning, crashes.size(), !aSuspect.mWasAnswered, aSuspect.mRank, aTrait
  };
}

/// @return whether a trait that was found to be the cause remains one
bool
StillCounts(const Suspect& aCulprit)
{
  return NotRefuted(aCulprit).size() >= kMinCrashes;
}

} // namespace

std::vector<RankedTrait>
RankedTraitsOf(const RequestTraits& aTraits)
{
  std::vector<RankedTrait> traits{ { aTraits.mContent, kContentRank } };
  if (aTraits.mResource) {
    traits.push_back({ *aTraits.mResource, kResourceRank });
  }
  const size_t parts = std::min(aTraits.mParts.size(), kMaxRankedParts);
  for (size_t i = 0; i < parts; ++i) {
    traits.push_back({ aTraits.mParts[i], RankOfPart(i) });
  }
  return traits;
}

std::vector<Crash>
NotRefuted(const Suspect& aSuspect)
{
  std::vector<Crash> crashes;
  std::copy_if(aSuspect.mCrashes.begin(),
               aSuspect.mCrashes.end(),
               std::back_inserter(crashes),
               [](const Crash& it) { return !it.mRefuted; });
  return crashes;
}

size_t
CountApart(std::span<const Crash> aCrashes)
{
  std::vector<TimePoint> times;
  for (const Crash& it : aCrashes) {
    times.push_back(it.mAt);
  }
  std::sort(times.begin(), times.end());
  size_t n = 0;
  TimePoint last;
  for (const TimePoint it : times) {
    if (n == 0 || it - last >= kMinCrashDistance) {
      last = it;
      ++n;
    }
  }
  return n;
}

std::set<TraitId>
FindCulprits(const Suspects& aSuspects,
             const std::set<TraitId>& aKnown,
             TimePoint aNow)
{
  std::set<TraitId> culprits;
  Explained explained;
  for (const TraitId it : aKnown) {
    const auto found = aSuspects.find(it);
    if (found != aSuspects.end() && StillCounts(found->second)) {
      culprits.insert(it);
      explained.Add(found->second);
    }
  }
  const auto isCandidate = [&](const auto& aIt) {
    return aIt.second.mCrashes.size() >= kMinCrashes &&
           !culprits.contains(aIt.first);
  };
  // Most of the time there are few crashes and nothing to explain.
  while (std::any_of(aSuspects.begin(), aSuspects.end(), isCandidate)) {
    const Ends ends = FindEnds(aSuspects, explained);
    Explanation best;
    for (const auto& it : aSuspects) {
      if (isCandidate(it)) {
        const Explanation found =
          Explain(it.first, it.second, explained, ends, aNow);
        best = best.Key() < found.Key() ? found : best;
      }
    }
    if (best.mCrashes == 0) {
      return culprits;
    }
    culprits.insert(best.mTrait);
    explained.Add(aSuspects.at(best.mTrait));
  }
  return culprits;
}

} // namespace hibiscushold
