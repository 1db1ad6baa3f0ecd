#pragma once

#include "core/errors.h"
#include "fleet/vm.h"

#include <string>
#include <vector>

namespace hibiscushold {

enum class OrderKind
{
  Join,  ///< takes a seat in a group; the VM readies itself
  Open,  ///< the head begins to serve
  Close, ///< the head ends its work and takes no more
  Leave, ///< gives up the seat at once
};

/// @return the stable name of the kind
const char*
NameOf(OrderKind aKind);

/// An order to the engine of one VM.
struct FleetOrder
{
  OrderKind mKind = OrderKind::Join;
  std::string mVmId;
  Endpoint mAddress;
  GroupKey mGroup;
  std::string mModel;                ///< for Join
  std::vector<std::string> mMembers; ///< for Join, the head first
  uint64_t mFence = 0;               ///< number of the planner's lease
};

/// What became of an order.
enum class OrderOutcome
{
  Begun,
  Done,     ///< the state held already
  Unfit,    ///< the VM's state does not allow it
  Outdated, ///< a newer planner or epoch was there first
  Wrong,    ///< another VM has the address, or the order is not understood
  Unknown,  ///< no answer; it may be carried out later
};

/// @return the stable name of the outcome
const char*
NameOf(OrderOutcome aOutcome);

/// What an engine reports of itself.
struct EngineStanding
{
  std::optional<GroupSeat> mSeat;
  double mPace = 1; ///< over 1 for a slow VM
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
};

/// Gives orders to engines and asks how they stand. Safe for several threads.
class EngineGate
{
public:
  virtual ~EngineGate() = default;

  /// Gives one order and waits a short time for its answer.
  virtual OrderOutcome Give(const FleetOrder& aOrder) = 0;

  /// @param aLimit longest wait
  /// @return the engine's own account, or why there is none
  virtual Result<EngineStanding> Ask(const Endpoint& aTo,
                                     milliseconds aLimit) = 0;
};

} // namespace hibiscushold
