#pragma once

#include "fleet/loads.h"
#include "relay/relayedplatform.h"

#include <Poco/Net/DatagramSocket.h>

namespace hibiscushold {

/// Tells the node that this one follows what its requests ask of the targets,
/// learns the same of all others in return, and answers the nodes that follow
/// this one. Reports are datagrams, as one that is late says nothing any more.
class DemandPort
{
public:
  struct Parts
  {
    const TokenBook& mTokens; ///< of this node's entry
    TargetLoads& mLoads;
    const RelayedPlatform& mRelay;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  /// @param aSelf the node's own entry; its address is bound
  DemandPort(RosterEntry aSelf, Parts aParts);

  /// @return AddressInUse when the address cannot be bound
  Result<void> Open();

  /// Reports when it is time to, and takes in what arrives until then.
  void Step();

private:
  void Report();
  void Receive();
  void ChooseAbove(TimePoint aNow);
  void SendDemands(const Poco::Net::SocketAddress& aTo,
                   const std::string& aToken,
                   const Demands& aDemands);

  const RosterEntry mSelf;
  const Parts mParts;
  Poco::Net::DatagramSocket mSocket;
  std::optional<RosterEntry> mAbove; ///< the node that is told
  TimePoint mHeardAt;                ///< when mAbove answered or was chosen
  TimePoint mFirstAgainAt;           ///< the first choice is tried again then
  TimePoint mReportAt;
  TimePoint mIdleUntil; ///< nothing was to be told; tell so again then
};

} // namespace hibiscushold
