#include "fleet/targetlist.h"

#include "observe/events.h"

#include <algorithm>
#include <utility>

namespace hibiscushold {

namespace {

/// Shorter than other nodes wait before they forget one.
constexpr auto kMaxRosterAge = milliseconds(8000);

} // namespace

TargetList::TargetList(const FleetWatcher& aWatcher,
                       const ZoneFollower* aZones,
                       std::string aSelf,
                       ColdTolerance aTolerance,
                       TimePoint aColdFrom,
                       const Clock& aClock)
  : mWatcher(aWatcher)
  , mZones(aZones)
  , mSelf(std::move(aSelf))
  , mTolerance(aTolerance)
  , mColdFrom(aColdFrom)
  , mClock(aClock)
{
}

FleetTargetsPtr
TargetList::Get()
{
  static const auto noZones = std::make_shared<const ZonesOut>();
  static const auto noTargets = std::make_shared<const FleetTargets>();
  Inputs inputs{ mWatcher.Vms(),
                 mWatcher.Config(),
                 mZones == nullptr ? noZones : mZones->Zones(),
                 0,
                 false };
  if (inputs.mConfig == nullptr || inputs.mZones == nullptr) {
    return noTargets;
  }
  const std::lock_guard guard(mLock);
  inputs.mRoster = mRosterChanges;
  inputs.mIsRosterCurrent = mClock.Now() - mRosterAsOf < kMaxRosterAge;
  if (mTargets == nullptr || inputs != mInputs) {
    mTargets = Derive(inputs);
    mInputs = std::move(inputs);
  }
  return mTargets;
}

FleetTargetsPtr
TargetList::Derive(const Inputs& aInputs)
{
  FleetTargets targets =
    FindTargets(*aInputs.mVms, *aInputs.mConfig, *aInputs.mZones);
  MarkColdTargets(targets,
                  *aInputs.mConfig,
                  *aInputs.mZones,
                  { mSelf,
                    mOthers,
                    mRosterChanges > 0 && aInputs.mIsRosterCurrent,
                    mColdFrom,
                    mTolerance });
  LogOddRanks(FindOddRanks(*aInputs.mVms, *aInputs.mConfig));
  return std::make_shared<const FleetTargets>(std::move(targets));
}

void
TargetList::LogOddRanks(std::map<std::string, uint32_t> aRanks)
{
  for (const auto& [id, rank] : aRanks) {
    const auto known = mOddRanks.find(id);
    if (known == mOddRanks.end() || known->second != rank) {
      LogEvent(EventId::VmRankIgnored,
               { { "vm", id },
                 { "field", "group.rank" },
                 { "value", std::to_string(rank) } });
    }
  }
  mOddRanks = std::move(aRanks);
}

void
TargetList::SetRoster(std::vector<std::string> aOthers, TimePoint aAsOf)
{
  std::sort(aOthers.begin(), aOthers.end());
  const std::lock_guard guard(mLock);
  mRosterAsOf = std::max(mRosterAsOf, aAsOf);
  if (mRosterChanges == 0 || aOthers != mOthers) {
    mOthers = std::move(aOthers);
    ++mRosterChanges;
  }
}

} // namespace hibiscushold
