#include "fleet/vm.h"

#include <algorithm>

namespace hibiscushold {

const char*
NameOf(GroupPhase aPhase)
{
  switch (aPhase) {
    case GroupPhase::Joining:
      return "joining";
    case GroupPhase::Ready:
      return "ready";
    case GroupPhase::Open:
      return "open";
    case GroupPhase::Closing:
      return "closing";
    case GroupPhase::Broken:
      return "broken";
  }
  return "";
}

const FleetVm*
FindVm(const FleetVms& aVms, const std::string& aId)
{
  const auto it = aVms.find(aId);
  return it == aVms.end() ? nullptr : &it->second;
}

bool
IsMemberOf(const FleetVm* aVm, const GroupKey& aKey)
{
  return aVm != nullptr && aVm->mMembership && aVm->mMembership->mKey == aKey;
}

bool
IsServingHead(const FleetVm* aHead)
{
  return aHead != nullptr && aHead->mMembership &&
         aHead->mMembership->mRank == 0 &&
         (aHead->mMembership->mPhase == GroupPhase::Open ||
          aHead->mMembership->mPhase == GroupPhase::Closing);
}

std::vector<ObservedGroup>
FindGroups(const FleetVms& aVms, std::string_view aService)
{
  std::map<GroupKey, ObservedGroup> groups;
  for (const auto& [id, vm] : aVms) {
    if (vm.mService != aService || !vm.mMembership) {
      continue;
    }
    ObservedGroup& group = groups[vm.mMembership->mKey];
    group.mKey = vm.mMembership->mKey;
    group.mModel = vm.mMembership->mModel;
    group.mDomain = vm.mDomain;
    const size_t rank = vm.mMembership->mRank;
    if (group.mMembers.size() <= rank) {
      group.mMembers.resize(rank + 1);
    }
    group.mMembers[rank] = &vm;
  }
  std::vector<ObservedGroup> list;
  list.reserve(groups.size());
  for (auto& [key, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

bool
IsComplete(const ObservedGroup& aGroup, size_t aSize)
{
  return aGroup.mMembers.size() == aSize &&
         std::all_of(aGroup.mMembers.begin(),
                     aGroup.mMembers.end(),
                     [](const FleetVm* it) {
                       return it != nullptr && it->mState == VmState::Live &&
                              it->mMembership->mPhase != GroupPhase::Joining &&
                              it->mMembership->mPhase != GroupPhase::Broken;
                     });
}

} // namespace hibiscushold
