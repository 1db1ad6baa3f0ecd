#include "fleet/vm.h"

#include <algorithm>

namespace hibiscushold {

const char*
NameOf(MembershipPhase aPhase)
{
  switch (aPhase) {
    case MembershipPhase::Joining:
      return "joining";
    case MembershipPhase::Ready:
      return "ready";
    case MembershipPhase::Open:
      return "open";
    case MembershipPhase::Closing:
      return "closing";
    case MembershipPhase::Broken:
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
HasModel(const FleetVm& aVm, std::string_view aModel)
{
  return std::find(aVm.mStaged.begin(), aVm.mStaged.end(), aModel) !=
         aVm.mStaged.end();
}

bool
IsMemberOf(const FleetVm* aVm, const GroupKey& aKey)
{
  return aVm != nullptr && aVm->mMembership && aVm->mMembership->mKey == aKey;
}

bool
IsLapsed(const FleetVm* aVm)
{
  return aVm != nullptr && aVm->mLapse.has_value();
}

bool
IsServingHead(const FleetVm* aHead)
{
  return aHead != nullptr && aHead->mMembership &&
         aHead->mMembership->mRank == 0 &&
         (aHead->mMembership->mPhase == MembershipPhase::Open ||
          aHead->mMembership->mPhase == MembershipPhase::Closing);
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
    group.mMembers[vm.mMembership->mRank] = &vm;
  }
  std::vector<ObservedGroup> list;
  list.reserve(groups.size());
  for (auto& [key, group] : groups) {
    const FleetVm& first = *group.mMembers.begin()->second;
    group.mModel = first.mMembership->mModel;
    group.mDomain = first.mDomain;
    list.push_back(std::move(group));
  }
  return list;
}

const FleetVm*
HeadOf(const ObservedGroup& aGroup)
{
  const auto it = aGroup.mMembers.find(0);
  return it == aGroup.mMembers.end() ? nullptr : it->second;
}

std::vector<const FleetVm*>
FindAllMembers(const ObservedGroup& aGroup, size_t aSize)
{
  std::vector<const FleetVm*> members;
  for (const auto& [rank, vm] : aGroup.mMembers) {
    if (rank != members.size()) {
      break;
    }
    members.push_back(vm);
  }
  return members.size() == aSize ? members : std::vector<const FleetVm*>();
}

bool
IsComplete(const ObservedGroup& aGroup, size_t aSize)
{
  const std::vector<const FleetVm*> members = FindAllMembers(aGroup, aSize);
  return !members.empty() &&
         std::all_of(members.begin(), members.end(), [](const FleetVm* it) {
           return it->mState == VmState::Live &&
                  it->mMembership->mPhase != MembershipPhase::Joining &&
                  it->mMembership->mPhase != MembershipPhase::Broken;
         });
}

} // namespace hibiscushold
