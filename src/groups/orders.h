#pragma once

#include "groups/engine.h"
#include "groups/presence.h"

#include <string>
#include <vector>

namespace hibiscushold {

/// An order to be sent to a VM.
struct DueOrder
{
  std::string mVm;
  Endpoint mAddress;
  Order mOrder;
  std::string mRetiredGroup; ///< retiring group that a release ends, or empty
};

/// A model that idle VMs of a pool should have loaded.
struct WarmDemand
{
  std::string mPool;
  std::string mModel;
  uint32_t mVms = 0; ///< number of idle VMs
};

/// Chooses the orders that bring the engines in line with the stored domain.
/// Members of forming groups are assigned; members of retiring groups and VMs
/// without a group are released. Each holder releases every VM at least once,
/// so that its engine refuses older orders that are still in flight.
/// @param aWarm models that idle VMs should have loaded
/// @param aLoads limit of VMs that load weights at the same time
std::vector<DueOrder>
DecideOrders(const DomainInput& aInput,
             const std::vector<WarmDemand>& aWarm,
             uint32_t aLoads,
             TimePoint aNow);

} // namespace hibiscushold
