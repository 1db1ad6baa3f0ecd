#pragma once

#include "fleet/targetchoice.h"
#include "gateway/exchange.h"

namespace hibiscushold {

class Attempt;

/// The request that attempts belong to.
class AttemptOwner
{
public:
  virtual ~AttemptOwner() = default;

  /// See StreamSink.
  virtual bool OnHead(int aStatus, const std::vector<HttpField>& aFields) = 0;
  /// See StreamSink.
  virtual bool OnEvents(std::string_view aEvents, uint64_t aLastId) = 0;
  virtual bool IsCallerDisconnected() const = 0;
  /// See StreamSink.
  virtual bool IsQuarantined() const = 0;
  virtual bool IsNodeExiting() const = 0;

  /// Tries to have another target take over from a stalled one. The stalled
  /// target keeps the request until a response of the other one has begun, as
  /// its silence alone doesn't mean that it won't answer.
  /// @return whether another target has taken over
  virtual bool TryTakeover(Attempt& aStalled) = 0;
};

/// The load of a target when it was chosen.
struct LoadAtChoice
{
  uint32_t mInFlight = 0;       ///< requests of this node
  double mFirstEventMillis = 0; ///< forecast of the wait for the first event
  bool mIsDelayed = false;      ///< the target serves others first
};

/// One attempt of a request at one target.
class Attempt final
  : public StreamSink
  , public NestedAttempt
{
public:
  /// @param aOuter the attempt with the stalled target, or null
  Attempt(AttemptOwner& aOwner,
          const FleetTarget& aTarget,
          const LoadAtChoice& aLoad,
          Attempt* aOuter)
    : NestedAttempt(aOuter)
    , mTarget(aTarget)
    , mLoad(aLoad)
    , mOwner(aOwner)
  {
  }

  bool OnHead(int aStatus, const std::vector<HttpField>& aFields) override;
  bool OnEvents(std::string_view aEvents, uint64_t aLastId) override;
  bool IsCallerDisconnected() override;
  bool OnStall(WaitingTransfer& aExchange) override;
  bool IsSuperseded() override { return HasOuterProgress(); }
  bool IsQuarantined() override { return mOwner.IsQuarantined(); }
  bool IsNodeExiting() override { return mOwner.IsNodeExiting(); }

  const FleetTarget& mTarget;
  const LoadAtChoice mLoad;
  bool mCounted = false; ///< in the attempts that were sent
  bool mAvoided = false; ///< new requests are kept away from the target

private:
  AttemptOwner& mOwner;
};

} // namespace hibiscushold
