#include "fleet/lapse.h"

#include "observe/events.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

/// Divisors and factors of the leave bound. A VM that gets requests itself gets
/// none after half of it.
constexpr int kTargetDivisor = 2;
/// Other members stay while their head has work, so they are kept for longer.
constexpr int kMemberFactor = 5;
constexpr int kMemberDivisor = 6;
/// Time to finish requests before the VM is removed.
constexpr int kFinishDivisor = 6;

Duration
TimeWithWork(const FleetVm& aVm, Duration aLeaveBound)
{
  const bool isMember = aVm.mMembership && aVm.mMembership->mRank > 0;
  return isMember ? aLeaveBound * kMemberFactor / kMemberDivisor
                  : aLeaveBound / kTargetDivisor;
}

bool
IsKeptUntilSettled(const FleetVm& aVm)
{
  return aVm.mLapse && aVm.mLapse->mEndsAt == kUntilSettled;
}

void
LogGone(const std::string& aId)
{
  LogEvent(EventId::VmGone, { { "vm", aId } });
}

} // namespace

std::optional<VmLapse>
FindLapse(const FleetVm& aVm, const LapseEvidence& aEvidence)
{
  if (aVm.mState != VmState::Live) {
    return std::nullopt;
  }
  if (!aEvidence.mIsSettled) {
    const TimePoint end = aEvidence.mWasStoreDown
                            ? kUntilSettled
                            : aEvidence.mNow + kMaxUnsettledLapse;
    return VmLapse{ end, end };
  }
  const Duration bound = aEvidence.mLeaveBound;
  const TimePoint leavesAt = std::min(aEvidence.mNow + TimeWithWork(aVm, bound),
                                      aEvidence.mListedAt + bound);
  if (leavesAt <= aEvidence.mNow) {
    return std::nullopt;
  }
  return VmLapse{ leavesAt, leavesAt + bound / kFinishDivisor };
}

std::vector<std::string>
FindRemoved(const FleetVms& aVms,
            const Listing& aListing,
            std::string_view aPrefix,
            bool aIsFull)
{
  std::vector<std::string> removed;
  for (const std::string& it : aListing.mDeleted) {
    removed.push_back(it.substr(aPrefix.size()));
  }
  if (!aIsFull) {
    return removed;
  }
  std::set<std::string_view> listed;
  for (const Object& it : aListing.mObjects) {
    listed.insert(std::string_view(it.mKey).substr(aPrefix.size()));
  }
  for (const auto& [id, vm] : aVms) {
    if (!listed.contains(id)) {
      removed.push_back(id);
    }
  }
  return removed;
}

void
LapseOrRemove(FleetVms& aVms,
              std::span<const std::string> aIds,
              const LapseEvidence& aEvidence)
{
  for (const std::string& it : aIds) {
    const auto found = aVms.find(it);
    if (found == aVms.end() || found->second.mLapse) {
      continue;
    }
    found->second.mLapse = FindLapse(found->second, aEvidence);
    if (found->second.mLapse) {
      LogEvent(EventId::VmLapsed, { { "vm", it } });
    } else {
      aVms.erase(found);
      LogGone(it);
    }
  }
}

void
ApplyLapses(FleetVms& aVms, TimePoint aNow)
{
  for (auto& [id, vm] : aVms) {
    if (vm.mLapse && vm.mLapse->mLeavesAt <= aNow) {
      vm.mState = VmState::Leaving;
    }
  }
  std::erase_if(aVms, [aNow](const auto& it) {
    const bool isGone = it.second.mLapse && it.second.mLapse->mEndsAt <= aNow;
    if (isGone) {
      LogGone(it.first);
    }
    return isGone;
  });
}

void
DropUnsettled(FleetVms& aVms)
{
  std::erase_if(aVms, [](const auto& it) {
    const bool isGone = IsKeptUntilSettled(it.second);
    if (isGone) {
      LogGone(it.first);
    }
    return isGone;
  });
}

bool
AwaitSettling(const FleetVms& aVms)
{
  return std::any_of(aVms.begin(), aVms.end(), [](const auto& it) {
    return IsKeptUntilSettled(it.second);
  });
}

TimePoint
NextLapseChange(const FleetVms& aVms)
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, vm] : aVms) {
    if (vm.mLapse) {
      next = std::min(next,
                      vm.mState == VmState::Live ? vm.mLapse->mLeavesAt
                                                 : vm.mLapse->mEndsAt);
    }
  }
  return next;
}

void
AddLapsed(FleetVms& aListed,
          const FleetVms& aKnown,
          const LapseEvidence& aEvidence)
{
  for (const auto& [id, vm] : aKnown) {
    if (aListed.contains(id)) {
      continue;
    }
    const std::optional<VmLapse> lapse =
      vm.mLapse ? vm.mLapse : FindLapse(vm, aEvidence);
    if (lapse && !IsKeptUntilSettled(vm)) {
      aListed.emplace(id, vm).first->second.mLapse = lapse;
    }
  }
}

} // namespace hibiscushold
