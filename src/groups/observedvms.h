#pragma once

#include "cluster/view.h"
#include "groups/vmtimes.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace hibiscushold {

/// Selects the listed VMs of one domain with their latest probe results. A VM
/// that is listed twice in the domain is returned once. A VM that is listed in
/// two domains, or is recorded in a group of another domain, gets
/// mInOtherDomain set.
/// @return the VMs, in order of id, with mTimes left empty
std::vector<ObservedVm>
SelectVms(std::span<const Vm> aVms,
          const ClusterView& aView,
          const std::string& aDomain,
          const ProbeTable& aTable);

} // namespace hibiscushold
