#pragma once

#include "cluster/member.h"
#include "cluster/roll.h"
#include "cluster/rpcserver.h"
#include "cluster/view.h"
#include "cluster/vmlist.h"
#include "config/agent.h"
#include "config/coordinator.h"
#include "groups/evidence.h"
#include "route/demand.h"
#include "serve/claims.h"

namespace hibiscushold {

/// Dependencies of a node's JSON-RPC methods.
struct MethodParts
{
  const Member& mSelf;
  const ViewWatcher& mViews;
  const VmList& mVms;
  const Roll& mRoll;
  const EvidenceTable& mEvidence;
  ConfigAgent& mConfig;
  ConfigCoordinator& mCoordinator;
  const DemandBook& mDemand;
  const ClaimStore& mClaims;
  const Clock& mClock;
  Duration mEvidenceMaxAge;
};

/// Adds the methods that other nodes call.
void
AddPeerMethods(RpcServer& aServer, const MethodParts& aParts);

/// Adds the methods that operators call.
void
AddOperatorMethods(RpcServer& aServer, const MethodParts& aParts);

} // namespace hibiscushold
