#pragma once

#include "cluster/vmlist.h"
#include "groups/engine.h"
#include "groups/probetable.h"

#include <set>
#include <string>

namespace hibiscushold {

/// Probes the status of engines and records the results.
class Prober
{
public:
  Prober(const VmList& aVms,
         EngineClient& aEngines,
         ProbeTable& aTable,
         const Clock& aClock);

  /// Probes the given VMs once, several at a time, and returns when all probes
  /// have completed or timed out. A VM that doesn't respond delays the others
  /// by at most one probe's timeout.
  /// @param aVms ids of the VMs; those that are not listed are skipped
  void Step(const std::set<std::string>& aVms);

private:
  void ProbeOne(const Vm& aVm);

  const VmList& mVms;
  EngineClient& mEngines;
  ProbeTable& mTable;
  const Clock& mClock;
};

} // namespace hibiscushold
