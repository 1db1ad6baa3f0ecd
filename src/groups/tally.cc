#include "groups/tally.h"

#include <map>
#include <set>
#include <string>

namespace hibiscushold {

GroupTally
TallyGroups(const Rules& aRules,
            const ClusterView& aView,
            std::span<const Vm> aVms,
            const ProbeTable& aTable,
            TimePoint aNow,
            Duration aMaxAge)
{
  GroupTally tally;
  std::map<std::string, uint32_t> copies;
  std::set<std::string> serving;
  for (const auto& [name, domain] : aView.mDomains) {
    for (const Group& group : domain.mValue.mGroups) {
      if (!IsGroupServing(group, aTable, aNow, aMaxAge)) {
        continue;
      }
      ++tally.mServing;
      ++copies[group.mRule];
      for (const GroupMember& it : group.mMembers) {
        serving.insert(it.mVm);
      }
    }
  }
  for (const GroupRule& it : aRules.mGroups) {
    const uint32_t n = copies[it.mName];
    tally.mMissing += it.mCopies > n ? it.mCopies - n : 0;
  }
  for (const Vm& it : aVms) {
    const bool idle = !it.mDomain.empty() && !serving.contains(it.mId);
    tally.mStranded += idle && it.mState == VmState::Live ? 1 : 0;
  }
  return tally;
}

} // namespace hibiscushold
