#pragma once

#include "cluster/rpcserver.h"
#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "core/clock.h"
#include "groups/probetable.h"
#include "store/platform.h"

namespace hibiscushold {

/// Dependencies of the operator methods for VMs.
struct VmMethodDependencies
{
  Platform& mPlatform;
  const ViewWatcher& mViews;
  const VmList& mVms;
  const ProbeTable& mProbes;
  const Clock& mClock;
};

/// Adds the operator methods "targets" and "drain".
void
AddVmMethods(RpcServer& aServer, const VmMethodDependencies& aDependencies);

} // namespace hibiscushold
