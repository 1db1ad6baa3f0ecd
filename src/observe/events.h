#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscushold {

/// Numbered log events; docs/EVENTS.md lists each with its fields.
enum class EventId
{
  NodeStarted = 1001,
  NodeStopping = 1002,
  NodeStopped = 1003,
  CredentialsReloaded = 1101,
  CredentialsRejected = 1102,
  ConfigInForce = 2001,
  ConfigRefused = 2002,
  ConfigLowerIgnored = 2003,
  ConfigUnreadable = 2004,
  StoreLost = 3001,
  StoreBack = 3002,
  StoreHistoryGone = 3003,
  MemberRegistered = 3101,
  UpstreamLost = 3102,
  RosterFailed = 3103,
  VmGone = 3201,
  VmUnreadable = 3202,
  VmAsked = 3203,
  LeaseTaken = 4001,
  LeaseLost = 4002,
  GroupChanged = 4003,
  OrderFailed = 4004,
  GroupNotReady = 4005,
  OrderGiven = 4006,
  FleetGroupChanged = 4007,
  FleetCounts = 4008,
  TargetEjected = 4101,
  RequestRefused = 5001,
  RequestRetried = 5002,
  RequestAnswered = 5003,
  RequestTried = 5004,
};

/// One "name=value" part of an event.
using EventField = std::pair<std::string_view, std::string>;

enum class LogTarget
{
  StandardError,
  StandardOutput,
};

/// Configures log4cplus once per process.
/// @param aLevel debug, info, warn or error
/// @param aJson whether each event is one JSON object instead of plain text
void
StartLog(const std::string& aLevel,
         bool aJson,
         LogTarget aTarget = LogTarget::StandardError);

/// Writes what still waits to be written.
void
StopLog();

/// Writes one event. The level follows from the event's number.
void
LogEvent(EventId aId, std::initializer_list<EventField> aFields);

/// What is fixed about an event.
struct EventType
{
  EventId mId;
  std::string_view mName;
  int mLevel; ///< of log4cplus
};

/// @return every event, in order of its number
std::span<const EventType>
AllEvents();

/// @return the stable name of the event, such as "node_started"
std::string_view
EventName(EventId aId);

} // namespace hibiscushold
