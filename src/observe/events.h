#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscushold {

/// Log events by number. docs/EVENTS.md lists their fields.
enum class EventId
{
  NodeStarted = 1001,
  NodeStopping = 1002,
  NodeStopped = 1003,
  TaskFailed = 1004,
  EventsDropped = 1005,
  CredentialsReloaded = 1101,
  CredentialsRejected = 1102,
  ConfigInForce = 2001,
  ConfigRefused = 2002,
  ConfigLowerIgnored = 2003,
  ConfigUnreadable = 2004,
  StoreLost = 3001,
  StoreBack = 3002,
  StoreHistoryGone = 3003,
  StoreRestored = 3004,
  StoreEraInvalid = 3005,
  StoreEraIncomplete = 3006,
  StoreEraRecorded = 3007,
  StoreObjectUnreadable = 3008,
  StoreWatchCut = 3009,
  EntryOutdated = 3010,
  EntryOrderRestarted = 3011,
  MemberRegistered = 3101,
  UpstreamLost = 3102,
  RosterFailed = 3103,
  NodeDoubted = 3104,
  NodeForgotten = 3105,
  VmGone = 3201,
  VmUnreadable = 3202,
  VmAsked = 3203,
  VmRankIgnored = 3204,
  VmLapsed = 3205,
  ZoneOut = 3301,
  ZoneBack = 3302,
  LeaseTaken = 4001,
  LeaseLost = 4002,
  GroupChanged = 4003,
  OrderFailed = 4004,
  GroupNotReady = 4005,
  OrderGiven = 4006,
  FleetGroupChanged = 4007,
  FleetCounts = 4008,
  PlannerCutOff = 4009,
  ModelNotFormable = 4010,
  OrderWithdrawn = 4011,
  MembershipDoubted = 4012,
  TargetEjected = 4101,
  RequestRefused = 5001,
  RequestRetried = 5002,
  RequestAnswered = 5003,
  RequestTried = 5004,
  ResponseCut = 5005,
  HandlerFailed = 5006,
  RequestUnreadable = 5007,
  ConnectionsRefused = 5008,
  HeaderInvalid = 5009,
  TargetBrokeOff = 5010,
  QuarantineStarted = 5011,
  QuarantineEnded = 5012,
  TargetsUnreachable = 5013,
  TargetsReachable = 5014,
};

/// Name and value of a field of an event.
using EventField = std::pair<std::string_view, std::string>;

enum class LogOutput
{
  StandardError,
  StandardOutput,
};

/// Configures log4cplus. Call once per process.
/// @param aLevel debug, info, warn or error
/// @param aJson whether to write each event as a JSON object or as plain text
void
StartLog(const std::string& aLevel,
         bool aJson,
         LogOutput aOutput = LogOutput::StandardError);

/// Flushes and closes the log.
void
StopLog();

/// Writes an event at the level of its type. An event that can't be written for
/// want of memory is counted; events_dropped has that count and follows the
/// next one that can be written.
void
LogEvent(EventId aId, std::initializer_list<EventField> aFields) noexcept;

/// Counts an event whose fields could not be built for want of memory.
void
CountDroppedEvent() noexcept;

/// The name and log level of an event.
struct EventType
{
  EventId mId;
  std::string_view mName;
  int mLevel; ///< log4cplus::LogLevel
};

/// @return the types of all events, in order of their numbers
std::span<const EventType>
AllEvents();

/// @return the stable name of the event, such as "node_started"
std::string_view
EventName(EventId aId);

} // namespace hibiscushold
