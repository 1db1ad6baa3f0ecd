#pragma once

#include "core/errors.h"
#include "fleet/vm.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscushold {

/// What an order makes the engine of a VM do.
enum class OrderKind
{
  Join,  ///< the VM joins a group and prepares to serve
  Open,  ///< the head starts to accept requests
  Close, ///< the head finishes its requests and accepts no new ones
  Leave, ///< the VM leaves the group at once
};

/// @return the name of the kind, as used in the protocol and in logs
const char*
NameOf(OrderKind aKind);

/// An order to the engine of a single VM.
struct FleetOrder
{
  OrderKind mKind = OrderKind::Join;
  std::string mVmId;
  Endpoint mAddress;
  GroupKey mGroup;
  std::string mModel;                ///< for Join
  std::vector<std::string> mMembers; ///< for Join, the head first
  uint64_t mFence = 0;               ///< fencing number of the planner's lease
  /// Orders that the VM must have carried out before; it refuses others. None
  /// if any number will do.
  std::optional<uint64_t> mExpectedCount{};
};

/// The result of an order.
enum class OrderOutcome
{
  Accepted,     ///< accepted; the VM has started to carry it out
  AlreadyDone,  ///< the VM is in the requested state already
  InvalidState, ///< the VM's state does not allow it
  Outdated,     ///< the VM has an order of a newer planner or epoch
  Invalid,      ///< sent to another VM's address, or malformed
  NoResponse,   ///< no response; the VM may still carry the order out
};

/// @return the name of the outcome, as used in metrics and logs
const char*
NameOf(OrderOutcome aOutcome);

/// The state of an engine, as it reports it.
struct EngineReport
{
  std::optional<GroupMembership> mMembership;
  bool mTellsMembership = true; ///< false if its group can't be read
  double mPace = 1;             ///< factor on all times; above 1 for a slow VM
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  std::optional<uint64_t> mOrderCount{}; ///< orders that it has carried out
  uint64_t mStartedMillis = 0; ///< start of the VM; 0 if it doesn't tell
};

/// Sends orders and report requests to engines. Thread-safe.
class EngineControl
{
public:
  virtual ~EngineControl() = default;

  /// Sends an order and waits a short time for the response.
  /// @return the outcome; NoResponse when there was no response in time
  virtual OrderOutcome SendOrder(const FleetOrder& aOrder) = 0;

  /// Requests the report of the engine at an address.
  /// @return the report, or the error that prevented it
  virtual Result<EngineReport> GetReport(const Endpoint& aTo,
                                         milliseconds aTimeout) = 0;
};

} // namespace hibiscushold
