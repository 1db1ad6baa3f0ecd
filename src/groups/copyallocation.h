#pragma once

#include "groups/domain.h"
#include "rules/rules.h"
#include "store/platform.h"

#include <map>
#include <span>
#include <string>

namespace hibiscushold {

/// Number of copies that a domain should hold, by name of the group rule.
using CopyCounts = std::map<std::string, uint32_t>;

/// Distributes the copies of every group rule over the fabric domains.
/// Existing copies keep their domain; a missing copy is assigned to the domain
/// with the most free VMs. VMs that remain free become extra copies of the
/// rules whose capacity goal is MinimizeStranded. Extra copies are removed
/// again when another rule has fewer copies than it requires. The result is
/// deterministic, so all nodes compute the same one.
/// @param aRules the active rules
/// @param aVms the platform's VM list
/// @param aDomains the stored domains by name
/// @param aWallMillis milliseconds since the Unix epoch
/// @return the copy counts by domain name
std::map<std::string, CopyCounts>
AllocateCopies(const Rules& aRules,
               std::span<const Vm> aVms,
               const std::map<std::string, Domain>& aDomains,
               int64_t aWallMillis);

} // namespace hibiscushold
