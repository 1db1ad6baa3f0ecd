#pragma once

#include "cluster/view.h"
#include "groups/probetable.h"
#include "rules/rules.h"
#include "store/platform.h"

#include <span>

namespace hibiscushold {

/// Counts of groups and VMs, as observed by this node.
struct GroupTally
{
  uint32_t mServing = 0;  ///< groups that accept requests
  uint32_t mMissing = 0;  ///< copies that the rules require and no group serves
  uint32_t mStranded = 0; ///< live VMs of fabric domains in no serving group

  bool operator==(const GroupTally&) const = default;
};

/// Counts groups and VMs; spare VMs count as stranded.
GroupTally
TallyGroups(const Rules& aRules,
            const ClusterView& aView,
            std::span<const Vm> aVms,
            const ProbeTable& aTable,
            TimePoint aNow,
            Duration aMaxAge);

} // namespace hibiscushold
