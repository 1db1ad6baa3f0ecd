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

size_t
CountUnexplained(const Suspect& aSuspect, const Explained& aExplained)
{
  std::vector<Crash> crashes;
  for (const Crash& it : aSuspect.mCrashes) {
    if (!it.mRefuted && !aExplained.Covers(it)) {
      crashes.push_back(it);
    }
  }
  return CountCrashes(aSuspect.mRank, crashes);
}

} // namespace

size_t
CountCrashes(uint8_t aRank, std::span<const Crash> aCrashes)
{
  std::vector<Crash> sorted(aCrashes.begin(), aCrashes.end());
  std::sort(sorted.begin(), sorted.end(), [](const Crash& aL, const Crash& aR) {
    return aL.mAt < aR.mAt;
  });
  std::set<TraitId> contents;
  std::optional<TimePoint> last;
  size_t n = 0;
  for (const Crash& it : sorted) {
    const bool apart = !last || it.mAt - *last >= kMinCrashDistance;
    const bool repeat = aRank != kContentRank && contents.contains(it.mContent);
    if (apart && !repeat) {
      contents.insert(it.mContent);
      last = it.mAt;
      ++n;
    }
  }
  return n;
}

std::set<TraitId>
FindCulprits(const Suspects& aSuspects, const std::set<TraitId>& aKnown)
{
  std::set<TraitId> culprits;
  Explained explained;
  for (const TraitId it : aKnown) {
    const auto found = aSuspects.find(it);
    if (found != aSuspects.end() &&
        CountUnexplained(found->second, Explained()) >= kMinCrashes) {
      culprits.insert(it);
      explained.Add(found->second);
    }
  }
  for (;;) {
    std::tuple<size_t, uint8_t, TraitId> best{ 0, 0, 0 };
    for (const auto& [trait, suspect] : aSuspects) {
      if (suspect.mCrashes.size() >= kMinCrashes && !culprits.contains(trait)) {
        best = std::max(
          best, { CountUnexplained(suspect, explained), suspect.mRank, trait });
      }
    }
    const auto& [count, rank, trait] = best;
    if (count < kMinCrashes) {
      return culprits;
    }
    culprits.insert(trait);
    explained.Add(aSuspects.at(trait));
  }
}

} // namespace hibiscushold
