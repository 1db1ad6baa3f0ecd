#include "observe/events.h"

#include "core/json.h"
#include "observe/boundedappender.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <atomic>
#include <memory>

namespace hibiscushold {

namespace {

constexpr std::array kEventTypes = {
  EventType{ EventId::NodeStarted, "node_started", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::NodeStopping,
             "node_stopping",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::NodeStopped, "node_stopped", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::TaskFailed, "task_failed", log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::EventsDropped,
             "events_dropped",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::CredentialsReloaded,
             "credentials_reloaded",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::CredentialsRejected,
             "credentials_rejected",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::ConfigInForce,
             "config_in_force",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::ConfigRefused,
             "config_refused",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::ConfigLowerIgnored,
             "config_lower_ignored",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::ConfigUnreadable,
             "config_unreadable",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::StoreLost, "store_lost", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::StoreBack, "store_back", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::StoreHistoryGone,
             "store_history_gone",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::StoreRestored,
             "store_restored",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::StoreEraInvalid,
             "store_era_invalid",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::StoreEraIncomplete,
             "store_era_incomplete",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::StoreEraRecorded,
             "store_era_recorded",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::StoreObjectUnreadable,
             "store_object_unreadable",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::StoreWatchCut,
             "store_watch_cut",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::EntryOutdated,
             "entry_outdated",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::EntryOrderRestarted,
             "entry_order_restarted",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::MemberRegistered,
             "member_registered",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::UpstreamLost,
             "upstream_lost",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::RosterFailed,
             "roster_failed",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::NodeDoubted, "node_doubted", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::NodeForgotten,
             "node_forgotten",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::VmGone, "vm_gone", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::VmUnreadable,
             "vm_unreadable",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::VmAsked, "vm_asked", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::VmRankIgnored,
             "vm_rank_ignored",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::VmLapsed, "vm_lapsed", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::ZoneOut, "zone_out", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::ZoneBack, "zone_back", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::LeaseTaken, "lease_taken", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::LeaseLost, "lease_lost", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::GroupChanged,
             "group_changed",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::OrderFailed, "order_failed", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::GroupNotReady,
             "group_not_ready",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::OrderGiven, "order_given", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::FleetGroupChanged,
             "fleet_group_changed",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::FleetCounts, "fleet_counts", log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::PlannerCutOff,
             "planner_cut_off",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::ModelNotFormable,
             "model_not_formable",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::OrderWithdrawn,
             "order_withdrawn",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::MembershipDoubted,
             "membership_doubted",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::TargetEjected,
             "target_ejected",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::RequestRefused,
             "request_refused",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::RequestRetried,
             "request_retried",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::RequestAnswered,
             "request_answered",
             log4cplus::DEBUG_LOG_LEVEL },
  EventType{ EventId::RequestTried,
             "request_tried",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::ResponseCut, "response_cut", log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::HandlerFailed,
             "handler_failed",
             log4cplus::ERROR_LOG_LEVEL },
  EventType{ EventId::RequestUnreadable,
             "request_unreadable",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::ConnectionsRefused,
             "connections_refused",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::HeaderInvalid,
             "header_invalid",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::TargetBrokeOff,
             "target_broke_off",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::QuarantineStarted,
             "quarantine_started",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::QuarantineEnded,
             "quarantine_ended",
             log4cplus::INFO_LOG_LEVEL },
  EventType{ EventId::TargetsUnreachable,
             "targets_unreachable",
             log4cplus::WARN_LOG_LEVEL },
  EventType{ EventId::TargetsReachable,
             "targets_reachable",
             log4cplus::INFO_LOG_LEVEL },
};

std::atomic<bool> gIsJson{ false };
std::atomic<uint64_t> gDroppedEvents{ 0 };

const EventType&
FindEventType(EventId aId)
{
  for (const EventType& it : kEventTypes) {
    if (it.mId == aId) {
      return it;
    }
  }
  return kEventTypes[0];
}

std::string
FormatPlain(const EventType& aType, std::initializer_list<EventField> aFields)
{
  std::string text = std::to_string(static_cast<int>(aType.mId)) + " " +
                     std::string(aType.mName);
  for (const auto& [name, value] : aFields) {
    text += " " + std::string(name) + "=" + value;
  }
  return text;
}

std::string
FormatJson(const EventType& aType, std::initializer_list<EventField> aFields)
{
  Json::Value json;
  json["event"] = static_cast<int>(aType.mId);
  json["name"] = std::string(aType.mName);
  for (const auto& [name, value] : aFields) {
    json[std::string(name)] = value;
  }
  return ToJson(json);
}

void
WriteEvent(EventId aId, std::initializer_list<EventField> aFields)
{
  const EventType& type = FindEventType(aId);
  const log4cplus::Logger root = log4cplus::Logger::getRoot();
  if (!root.isEnabledFor(type.mLevel)) {
    return;
  }
  const std::string text =
    gIsJson ? FormatJson(type, aFields) : FormatPlain(type, aFields);
  root.log(type.mLevel, text, __FILE__, __LINE__, "LogEvent");
}

/// Writes how many events could not be written, if any.
void
ReportDroppedEvents()
{
  const uint64_t dropped = gDroppedEvents.exchange(0);
  if (dropped == 0) {
    return;
  }
  try {
    WriteEvent(EventId::EventsDropped,
               { { "count", std::to_string(dropped) } });
  } catch (...) {
    gDroppedEvents += dropped;
    throw;
  }
}

log4cplus::Appender*
CreateAppender(LogOutput aOutput)
{
  if (aOutput == LogOutput::StandardOutput) {
    return new BoundedAppender;
  }
  const bool toStandardError = true;
  return new log4cplus::ConsoleAppender(toStandardError, true);
}

} // namespace

void
StartLog(const std::string& aLevel, bool aJson, LogOutput aOutput)
{
  gIsJson = aJson;
  log4cplus::SharedAppenderPtr appender(CreateAppender(aOutput));
  const char* pattern = aJson ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  std::string level = aLevel;
  for (char& it : level) {
    it = static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
  }
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void
StopLog()
{
  log4cplus::Logger::getRoot().closeNestedAppenders();
}

void
LogEvent(EventId aId, std::initializer_list<EventField> aFields) noexcept
{
  try {
    WriteEvent(aId, aFields);
    ReportDroppedEvents();
  } catch (...) {
    CountDroppedEvent();
  }
}

void
CountDroppedEvent() noexcept
{
  ++gDroppedEvents;
}

std::span<const EventType>
AllEvents()
{
  return kEventTypes;
}

std::string_view
EventName(EventId aId)
{
  return FindEventType(aId).mName;
}

} // namespace hibiscushold
