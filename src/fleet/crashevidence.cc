#include "fleet/crashevidence.h"

#include <algorithm>
#include <optional>
#include <tuple>

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

/// @return the number of crashes that speak against the trait at this time, or
///         zero if they are too few to count
size_t
CountAgainst(const Suspect& aSuspect,
             const Explained& aExplained,
             TimePoint aNow)
{
  const TimePoint until = aSuspect.mWasAnswered ? aNow - kTimeToRefute : aNow;
  std::vector<Crash> crashes;
  for (const Crash& it : aSuspect.mCrashes) {
    if (!it.mRefuted && it.mAt <= until && !aExplained.Covers(it)) {
      crashes.push_back(it);
    }
  }
  const bool enough =
    CountCrashes(aSuspect.mRank, crashes) >= MinCrashesOf(aSuspect);
  return enough ? crashes.size() : 0;
}

} // namespace

size_t
MinCrashesOf(const Suspect& aSuspect)
{
  return aSuspect.mWasAnswered ? kMinCrashesAfterAnswers : kMinCrashes;
}

size_t
CountCrashes(uint8_t aRank, std::span<const Crash> aCrashes)
{
  std::vector<Crash> sorted(aCrashes.begin(), aCrashes.end());
  std::sort(sorted.begin(), sorted.end(), [](const Crash& aL, const Crash& aR) {
    return aL.mAt < aR.mAt;
  });
  std::set<TraitId> contents;
  std::optional<TimePoint> last;
  size_t apart = 0;
  for (const Crash& it : sorted) {
    contents.insert(it.mContent);
    if (!last || it.mAt - *last >= kMinCrashDistance) {
      last = it.mAt;
      ++apart;
    }
  }
  return aRank == kContentRank ? apart : std::min(apart, contents.size());
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
        CountAgainst(found->second, Explained(), aNow) > 0) {
      culprits.insert(it);
      explained.Add(found->second);
    }
  }
  for (;;) {
    // Of traits with as many crashes, one without answers is the better
    // explanation, then the one that fewer requests share.
    std::tuple<size_t, bool, uint8_t, TraitId> best{ 0, false, 0, 0 };
    for (const auto& [trait, suspect] : aSuspects) {
      if (suspect.mCrashes.size() >= MinCrashesOf(suspect) &&
          !culprits.contains(trait)) {
        best = std::max(best,
                        { CountAgainst(suspect, explained, aNow),
                          !suspect.mWasAnswered,
                          suspect.mRank,
                          trait });
      }
    }
    if (std::get<0>(best) == 0) {
      return culprits;
    }
    const TraitId culprit = std::get<3>(best);
    culprits.insert(culprit);
    explained.Add(aSuspects.at(culprit));
  }
}

} // namespace hibiscushold
