#pragma once

#include "fleet/quarantine.h"
#include "fleet/targetloads.h"
#include "relay/relayedplatform.h"

#include <Poco/Net/DatagramSocket.h>

namespace hibiscushold {

/// Exchanges reports of the load on targets with other nodes. This node sends
/// the demands of itself and of the nodes below it to its parent node, receives
/// the demands of all other nodes in return, and replies likewise to the nodes
/// that report to it. Crashes of targets travel the same way. Reports are UDP
/// datagrams: a late report of demands is useless, and one of crashes is sent
/// several times.
class DemandExchange
{
public:
  struct Dependencies
  {
    const TokenSet& mTokens; ///< of this node's roster entry
    TargetLoads& mLoads;
    Quarantine& mQuarantine;
    const RelayedPlatform& mRelay;
    Metrics& mMetrics;
    const Clock& mClock;
  };

  /// @param aSelf this node's roster entry; the socket binds to its address
  DemandExchange(RosterEntry aSelf, Dependencies aDependencies);

  /// Binds the socket.
  /// @return AddressInUse if the address cannot be bound
  Result<void> Open();

  /// Sends a report if one is due, then waits until the next one is due or a
  /// datagram arrives, and handles the datagram.
  void RunOnce();

private:
  void SendReport();
  void ReceiveReport();
  /// @return whether the datagram was a valid report of demands
  bool HandleDemandReport(std::string_view aBytes,
                          const Poco::Net::SocketAddress& aFrom);
  /// @return whether the datagram was a valid report of crashes
  bool HandleCrashReport(std::string_view aBytes,
                         const Poco::Net::SocketAddress& aFrom);
  bool IsFromParent(const Poco::Net::SocketAddress& aFrom,
                    std::string_view aToken) const;
  void ChooseParent(TimePoint aNow);
  void SendDemands(const Poco::Net::SocketAddress& aTo,
                   const std::string& aToken,
                   const Demands& aDemands);
  /// Sends the crashes that the node may not know yet.
  void SendCrashes(const Poco::Net::SocketAddress& aTo,
                   const std::string& aToken);
  void Send(const char* aKind,
            const std::string& aBytes,
            const Poco::Net::SocketAddress& aTo);

  /// When another node gets the next report of crashes.
  struct CrashSchedule
  {
    TimePoint mNextAt;
    TimePoint mNextStrongAt; ///< with the strong evidence, whatever its age
  };

  const RosterEntry mSelf;
  const Dependencies mDependencies;
  Poco::Net::DatagramSocket mSocket;
  std::optional<RosterEntry> mParent; ///< parent node, which gets the reports
  TimePoint mParentSeenAt;     ///< when the parent last answered, or was chosen
  TimePoint mRetryPreferredAt; ///< when to try the preferred parent again
  TimePoint mNextReportAt;     ///< when the next report is due
  TimePoint mNextIdleReportAt; ///< no empty reports are sent before this
  std::map<std::string, CrashSchedule> mCrashSchedules; ///< by address
};

} // namespace hibiscushold
