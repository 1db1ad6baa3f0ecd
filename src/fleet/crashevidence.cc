#include "fleet/crashevidence.h"

#include <algorithm>
#include <array>
#include <compare>
#include <optional>

namespace hibiscushold {

namespace {

/// The crashes that the culprits found so far explain, by target.
class Explained
{
public:
  void Add(const Suspect& aCulprit)
  {
    // A request that ends targets may do so by one of its parts, which then
    // remain suspects.
    const bool exceptContent = aCulprit.mRank == kContentRank;
    for (const Crash& it : aCulprit.mCrashes) {
      if (it.mRefuted) {
        continue;
      }
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
  std::map<uint64_t, std::optional<TraitId>> mExceptContent;
};

/// Crashes that are enough to count a trait as their cause. A part of a prompt
/// needs several requests, as one alone doesn't tell which of its traits is the
/// cause.
struct Proof
{
  bool mOnlyAtBeginning;  ///< others don't count
  size_t mCrashes;        ///< apart from each other
  size_t mContents;       ///< different requests
  milliseconds mStanding; ///< how long they must have stood
};

/// Targets crash when they begin to write an answer, so crashes at that moment
/// weigh more.
constexpr std::array<Proof, 2> kWithoutAnswers{
  { { false, kMinCrashes, 3, milliseconds(0) },
    { true, kMinCrashes, 2, milliseconds(0) } }
};
constexpr std::array<Proof, 2> kWithAnswers{
  { { false, 5, 3, kTimeToRefute },
    { true, kMinCrashes, 2, kTimeToRefute / 2 } }
};

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
         (aRank == kContentRank || contents.size() >= aProof.mContents);
}

/// How well a trait explains crashes; the larger, the better.
struct Explanation
{
  size_t mAtBeginning = 0; ///< crashes while an answer had just begun
  size_t mCrashes = 0;     ///< zero if they prove nothing
  bool mNoAnswers = false;
  uint8_t mRank = 0;
  TraitId mTrait = 0;

  auto operator<=>(const Explanation&) const = default;
};

/// @param aExplained crashes that don't count against the trait
Explanation
Explain(TraitId aTrait,
        const Suspect& aSuspect,
        const Explained& aExplained,
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
      return IsMet(it, aSuspect.mRank, crashes, aNow);
    });
  if (!proven) {
    return {};
  }
  return {
    atBeginning, crashes.size(), !aSuspect.mWasAnswered, aSuspect.mRank, aTrait
  };
}

} // namespace

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
    if (found != aSuspects.end() &&
        Explain(it, found->second, Explained(), aNow).mCrashes > 0) {
      culprits.insert(it);
      explained.Add(found->second);
    }
  }
  for (;;) {
    Explanation best;
    for (const auto& [trait, suspect] : aSuspects) {
      if (suspect.mCrashes.size() >= kMinCrashes && !culprits.contains(trait)) {
        best = std::max(best, Explain(trait, suspect, explained, aNow));
      }
    }
    if (best.mCrashes == 0) {
      return culprits;
    }
    culprits.insert(best.mTrait);
    explained.Add(aSuspects.at(best.mTrait));
  }
}

} // namespace hibiscushold
