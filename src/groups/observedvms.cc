#include "groups/observedvms.h"

#include <algorithm>
#include <set>

namespace hibiscushold {

namespace {

std::set<std::string>
MembersOf(const Domain& aDomain)
{
  std::set<std::string> members;
  for (const Group& group : aDomain.mGroups) {
    for (const GroupMember& it : group.mMembers) {
      members.insert(it.mVm);
    }
  }
  return members;
}

/// Replaces the probe results of a serving group's members where a report on
/// their slice is more recent.
void
ApplySliceReports(const Group& aGroup,
                  const ProbeTable& aTable,
                  std::map<std::string, ObservedVm>& aObserved)
{
  for (uint32_t i = 0; i < CountSlices(aGroup); ++i) {
    const std::span<const GroupMember> members = SliceOf(aGroup, i);
    const std::optional<SliceReport> report =
      aTable.SliceReports().Find(aGroup.mId, i);
    if (aGroup.mPhase != GroupPhase::Serving || !report ||
        report->mGeneration != aGroup.mGeneration ||
        report->mDigest != DigestOf(members)) {
      continue;
    }
    for (const GroupMember& it : members) {
      const auto vm = aObserved.find(it.mVm);
      if (vm == aObserved.end() ||
          (vm->second.mLastProbe &&
           vm->second.mLastProbe->mProbedAt >= report->mProbedAt)) {
        continue;
      }
      EngineStatus status;
      status.mIncarnation = it.mIncarnation;
      status.mGroup = aGroup.mId;
      status.mGeneration = aGroup.mGeneration;
      status.mModel = aGroup.mModel;
      status.mReady = true;
      vm->second.mLastProbe = ProbeResult{ status, report->mProbedAt };
    }
  }
}

} // namespace

std::vector<ObservedVm>
SelectVms(std::span<const Vm> aVms,
          const ClusterView& aView,
          const std::string& aDomain,
          const ProbeTable& aTable)
{
  std::set<std::string> here;
  std::set<std::string> elsewhere;
  for (const auto& [name, domain] : aView.mDomains) {
    (name == aDomain ? here : elsewhere).merge(MembersOf(domain.mValue));
  }
  std::set<std::string> listedElsewhere;
  std::map<std::string, ObservedVm> selected;
  for (const Vm& it : aVms) {
    if (it.mDomain != aDomain) {
      listedElsewhere.insert(it.mId);
      continue;
    }
    std::optional<ProbeResult> probe = aTable.Find(it.mId);
    const bool matches =
      probe && probe->mStatus.mIncarnation == it.mIncarnation;
    if (matches || !selected.contains(it.mId)) {
      selected[it.mId] = { it, std::move(probe), {}, false };
    }
  }
  const auto stored = aView.mDomains.find(aDomain);
  if (stored != aView.mDomains.end()) {
    for (const Group& it : stored->second.mValue.mGroups) {
      ApplySliceReports(it, aTable, selected);
    }
  }
  std::vector<ObservedVm> vms;
  for (auto& [id, vm] : selected) {
    // A group of this domain keeps a member that is also listed in another
    // domain.
    const bool ambiguous = listedElsewhere.contains(id) && !here.contains(id);
    vm.mInOtherDomain = elsewhere.contains(id) || ambiguous;
    vms.push_back(std::move(vm));
  }
  return vms;
}

} // namespace hibiscushold
