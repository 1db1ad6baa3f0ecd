#include "cli/command.h"
#include "cli/table.h"
#include "cluster/peerclient.h"
#include "core/json.h"
#include "serve/peerport.h"

#include <array>
#include <iostream>

namespace hibiscushold {

namespace {

constexpr auto kNodeCallTimeout = milliseconds(20000);

/// Calls an operator method of the node that the options select.
/// @return the result of the call, or why it failed
Result<Json::Value>
CallNode(const OptionValues& aValues,
         const std::string& aMethod,
         const Json::Value& aParams)
{
  BOOST_OUTCOME_TRY(settings,
                    LoadSettings(aValues["settings"].as<std::string>()));
  Endpoint node = settings.mPeerListen;
  if (aValues.contains("node")) {
    BOOST_OUTCOME_TRY(endpoint,
                      ParseEndpoint(aValues["node"].as<std::string>()));
    node = endpoint;
  }
  const SystemClock clock;
  std::shared_ptr<TlsContext> tls;
  if (settings.mTls.IsConfigured()) {
    BOOST_OUTCOME_TRY(context,
                      TlsContext::Load(settings.mTls, TlsRole::Client));
    tls = context;
  }
  HttpClient http(clock, tls);
  const TokenSet tokens(settings.mOperatorToken);
  PeerClient client(http, tokens, kOperatorPath);
  return client.Call(node, aMethod, aParams, clock.Now() + kNodeCallTimeout);
}

/// Calls a method that returns an array of rows under its own name, and prints
/// the rows as a table.
/// @param aColumns names of the row members to show, in order
ExitCode
CallAndPrintTable(const OptionValues& aValues,
                  const std::string& aMethod,
                  std::span<const std::string> aColumns)
{
  Result<Json::Value> reply =
    CallNode(aValues, aMethod, Json::Value(Json::objectValue));
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (aValues.contains("json")) {
    std::cout << ToJson(reply.value()) << "\n";
  } else {
    PrintTable(std::cout,
               ArrayAt(reply.value(), aMethod.c_str()),
               aColumns,
               TerminalWidth());
  }
  return ExitCode::Ok;
}

/// Calls a method and prints each member of the result on a line of its own.
ExitCode
CallAndPrintMembers(const OptionValues& aValues,
                    const std::string& aMethod,
                    const Json::Value& aParams)
{
  Result<Json::Value> reply = CallNode(aValues, aMethod, aParams);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (aValues.contains("json")) {
    std::cout << ToJson(reply.value()) << "\n";
    return ExitCode::Ok;
  }
  for (const std::string& it : reply.value().getMemberNames()) {
    std::cout << it << ": " << reply.value()[it].asString() << "\n";
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunApply(const OptionValues& aValues, std::span<const std::string> aArguments)
{
  Result<RulesFile> file = LoadRulesFile(aArguments.front());
  if (!file) {
    return ReportFailure(file.error());
  }
  Json::Value params;
  params["text"] = file.value().mText;
  if (aValues.contains("base")) {
    params["base"] = Json::UInt64(aValues["base"].as<uint64_t>());
  }
  Result<Json::Value> reply = CallNode(aValues, "apply", params);
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (aValues.contains("json")) {
    std::cout << ToJson(reply.value()) << "\n";
  } else {
    std::cout << "version " << NumberAt(reply.value(), "version")
              << " is in force on " << NumberAt(reply.value(), "members")
              << " members\n";
    for (const Json::Value& it : ArrayAt(reply.value(), "without")) {
      std::cout << "member " << it.asString()
                << " does not answer and admits no requests until updated\n";
    }
  }
  return ExitCode::Ok;
}

ExitCode
RunConfig(const OptionValues& aValues, std::span<const std::string>)
{
  Result<Json::Value> reply =
    CallNode(aValues, "config", Json::Value(Json::objectValue));
  if (!reply) {
    return ReportFailure(reply.error());
  }
  if (aValues.contains("json")) {
    std::cout << ToJson(reply.value()) << "\n";
  } else {
    std::cerr << "version " << NumberAt(reply.value(), "version") << "\n";
    std::cout << TextAt(reply.value(), "text");
  }
  return ExitCode::Ok;
}

ExitCode
RunExplain(const OptionValues& aValues, std::span<const std::string>)
{
  Json::Value params;
  params["account"] = aValues["account"].as<std::string>();
  params["path"] = aValues["path"].as<std::string>();
  params["model"] = aValues["model"].as<std::string>();
  return CallAndPrintMembers(aValues, "explain", params);
}

ExitCode
RunHistory(const OptionValues& aValues, std::span<const std::string>)
{
  const std::array<std::string, 4> columns = {
    "version", "time", "node", "requesters"
  };
  return CallAndPrintTable(aValues, "history", columns);
}

ExitCode
RunTargets(const OptionValues& aValues, std::span<const std::string>)
{
  const std::array<std::string, 11> columns = { "vm",      "zone",   "domain",
                                                "pool",    "state",  "group",
                                                "phase",   "model",  "queued",
                                                "running", "seen_ms" };
  return CallAndPrintTable(aValues, "targets", columns);
}

ExitCode
RunRemove(const OptionValues& aValues, std::span<const std::string> aArguments)
{
  Json::Value params;
  params["member"] = aArguments.front();
  return CallAndPrintMembers(aValues, "members.remove", params);
}

ExitCode
RunDrain(const OptionValues& aValues, std::span<const std::string> aArguments)
{
  Json::Value params;
  params["vm"] = aArguments.front();
  params["undo"] = aValues.contains("undo");
  return CallAndPrintMembers(aValues, "drain", params);
}

ExitCode
RunRequests(const OptionValues& aValues,
            std::span<const std::string> aArguments)
{
  Json::Value params;
  params["key"] = aArguments.front();
  params["account"] = aValues["account"].as<std::string>();
  return CallAndPrintMembers(aValues, "requests", params);
}

ExitCode
RunGroups(const OptionValues& aValues, std::span<const std::string>)
{
  const std::array<std::string, 7> columns = { "group", "rule",       "domain",
                                               "phase", "generation", "serving",
                                               "vms" };
  return CallAndPrintTable(aValues, "groups", columns);
}

ExitCode
RunMembers(const OptionValues& aValues, std::span<const std::string>)
{
  const std::array<std::string, 5> columns = {
    "member", "zone", "peer", "caller", "heard"
  };
  return CallAndPrintTable(aValues, "members", columns);
}

} // namespace hibiscushold
