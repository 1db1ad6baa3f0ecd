#include "groups/rollout.h"

#include <algorithm>

namespace hibiscushold {

namespace {

struct CopyTally
{
  uint32_t mServing = 0; ///< with the rule's model and size, not leaving
  uint32_t mForming = 0;
  uint32_t mEnding = 0;
  uint32_t mLeaving = 0;
  std::vector<const Copy*> mReplaced; ///< outdated or leaving, not ending
  std::vector<const Copy*> mCurrent;  ///< the rest, serving ones first
};

bool
IsServing(const Copy* aCopy)
{
  return aCopy->mState == CopyState::Serving;
}

CopyTally
TallyCopies(const std::vector<Copy>& aCopies)
{
  CopyTally tally;
  for (const Copy& it : aCopies) {
    if (it.mState == CopyState::Ending) {
      ++tally.mEnding;
    } else if (it.mOutdated || it.mLeaving) {
      tally.mReplaced.push_back(&it);
      tally.mLeaving += it.mLeaving ? 1 : 0;
    } else {
      tally.mCurrent.push_back(&it);
      ++(it.mState == CopyState::Serving ? tally.mServing : tally.mForming);
    }
  }
  std::stable_partition(
    tally.mCurrent.begin(), tally.mCurrent.end(), IsServing);
  // Copies that don't serve yet are drained first, then leaving ones.
  std::stable_sort(
    tally.mReplaced.begin(), tally.mReplaced.end(), [](auto* aL, auto* aR) {
      const auto rank = [](const Copy* aCopy) {
        const int stateRank = aCopy->mState == CopyState::Forming ? 0 : 2;
        return stateRank + (aCopy->mLeaving ? 0 : 1);
      };
      return rank(aL) < rank(aR);
    });
  return tally;
}

uint32_t
CountToForm(const CopyTally& aTally, uint32_t aWanted)
{
  const uint32_t current = aTally.mServing + aTally.mForming;
  const uint32_t replaced = static_cast<uint32_t>(aTally.mReplaced.size());
  if (current >= aWanted) {
    return 0;
  }
  // All leaving copies may get their successors at once; outdated copies are
  // replaced one at a time.
  const bool outdated = replaced > aTally.mLeaving;
  const uint32_t surge =
    aTally.mLeaving + (outdated && aTally.mForming == 0 ? 1 : 0);
  const uint32_t maxCopies = aWanted + surge;
  const uint32_t total = current + replaced;
  return total >= maxCopies ? 0
                            : std::min(aWanted - current, maxCopies - total);
}

} // namespace

RolloutStep
DecideRollout(const std::vector<Copy>& aCopies,
              uint32_t aWanted,
              TimePoint aNow)
{
  const CopyTally tally = TallyCopies(aCopies);
  RolloutStep step;
  step.mForm = CountToForm(tally, aWanted);
  for (size_t i = aWanted; i < tally.mCurrent.size(); ++i) {
    step.mDrain.push_back(tally.mCurrent[i]->mGroup);
  }
  const size_t serving =
    tally.mServing +
    static_cast<size_t>(
      std::count_if(tally.mReplaced.begin(), tally.mReplaced.end(), IsServing));
  size_t spare = serving > aWanted ? serving - aWanted : 0;
  bool mayDrainOne = tally.mForming == 0 && tally.mEnding == 0;
  for (const Copy* it : tally.mReplaced) {
    const bool overdue = it->mLeaving && aNow >= it->mDrainDeadline;
    if (!IsServing(it) || spare > 0 || overdue) {
      step.mDrain.push_back(it->mGroup);
      spare -= IsServing(it) && spare > 0 ? 1 : 0;
      mayDrainOne = mayDrainOne && !IsServing(it);
    } else if (it->mLeaving && tally.mForming == 0) {
      step.mDrainIfNoRoom.push_back(it->mGroup);
    } else if (!it->mLeaving && mayDrainOne) {
      step.mDrainIfNoRoom.push_back(it->mGroup);
      mayDrainOne = false;
    }
  }
  return step;
}

} // namespace hibiscushold
