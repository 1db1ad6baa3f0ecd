#pragma once

#include "cluster/heartbeatmonitor.h"
#include "cluster/member.h"
#include "cluster/rpcserver.h"
#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "config/agent.h"
#include "config/coordinator.h"
#include "groups/probetable.h"
#include "route/demandtable.h"
#include "serve/claimstore.h"

namespace hibiscushold {

/// Dependencies of a node's JSON-RPC methods.
struct MethodDependencies
{
  const Member& mSelf;
  const ViewWatcher& mViews;
  const VmList& mVms;
  const HeartbeatMonitor& mHeartbeats;
  const ProbeTable& mProbes;
  ConfigAgent& mConfig;
  ConfigCoordinator& mCoordinator;
  const DemandTable& mDemand;
  const ClaimStore& mClaims;
  const Clock& mClock;
  Duration mMaxProbeAge;
};

/// Adds the methods that other nodes call.
void
AddPeerMethods(RpcServer& aServer, const MethodDependencies& aDependencies);

/// Adds the methods that operators call.
void
AddOperatorMethods(RpcServer& aServer, const MethodDependencies& aDependencies);

} // namespace hibiscushold
